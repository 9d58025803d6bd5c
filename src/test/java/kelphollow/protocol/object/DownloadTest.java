package kelphollow.protocol.object;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Resumption of a truncated response. */
class DownloadTest {
    private static final String TAG = "\"e\"";
    private final Download download = new Download();

    private static HttpResponse response(HttpResponseStatus status, String range, int length, String etag) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set("Content-Length", length).set("ETag", etag);
        if (range != null) {
            response.headers().set("Content-Range", range);
        }
        return response;
    }

    private static HttpResponse partial(String range, int length, String etag) {
        return response(HttpResponseStatus.PARTIAL_CONTENT, range, length, etag);
    }

    @Test void missingBytesAreRequestedWithIfMatch() {
        download.start(response(HttpResponseStatus.OK, null, 100, TAG));
        download.addForwarded(30);

        HttpHeaders headers = new DefaultHttpHeaders();
        download.addResumeHeaders(headers);

        assertEquals("bytes=30-99", headers.get("Range"));
        assertEquals(TAG, headers.get("If-Match"));
    }

    @Test void resumedRangeIsRelativeToTheWholeObject() {
        download.start(partial("bytes 50-149/1000", 100, TAG));
        download.addForwarded(30);

        HttpHeaders headers = new DefaultHttpHeaders();
        download.addResumeHeaders(headers);

        assertEquals("bytes=80-149", headers.get("Range"));
    }

    @Test void onlyExactlyTheMissingBytesContinueAResponse() {
        download.start(response(HttpResponseStatus.OK, null, 100, TAG));
        download.addForwarded(30);

        assertTrue(download.isContinuedBy(partial("bytes 30-99/100", 70, TAG)));
        assertFalse(download.isContinuedBy(partial("bytes 31-99/100", 69, TAG)), "a byte too late");
        assertFalse(download.isContinuedBy(partial("bytes 30-98/100", 69, TAG)), "a byte too short");
        assertFalse(download.isContinuedBy(partial("bytes 30-99/100", 70, "\"other\"")), "another object");
        assertFalse(download.isContinuedBy(response(HttpResponseStatus.OK, null, 100, TAG)), "the whole object");
    }

    @Test void rangeThatContradictsContentLengthIsInvalid() {
        assertFalse(download.start(partial("bytes 0-9/100", 11, TAG)));
        assertFalse(download.start(partial("bytes */100", 10, TAG)));
        assertFalse(download.isStarted());
    }

    @Test void responseIsResumableOnlyWithAStrongEntityTag() {
        download.start(response(HttpResponseStatus.OK, null, 100, "W/\"e\""));
        assertFalse(download.isResumable());

        Download strong = new Download();
        strong.start(response(HttpResponseStatus.OK, null, 100, TAG));
        assertTrue(strong.isResumable());
    }
}
