package kelphollow.protocol.object;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tracks how much of an object was forwarded to the client, so that another attempt can resume a truncated response.
 * Offsets are in bytes of the object. Confined to the event loop.
 */
final class Download {
    private static final Pattern CONTENT_RANGE = Pattern.compile("bytes (\\d{1,18})-(\\d{1,18})/(\\d{1,18}|\\*)");
    private static final int PARTIAL_CONTENT = 206;
    private static final long UNKNOWN = -1;

    private boolean started;
    private long firstByte;
    private long length = UNKNOWN;
    private long forwarded;
    private String entityTag;

    /** Whether the head of a response has been forwarded to the client. */
    boolean isStarted() {
        return started;
    }

    /** Reads the head of the first response; returns false if its range is invalid. */
    boolean start(HttpResponse response) {
        long announced = HttpUtil.getContentLength(response, UNKNOWN);
        if (response.status().code() == PARTIAL_CONTENT) {
            Matcher range = range(response);
            if (!range.matches() || announced >= 0 && last(range) - first(range) + 1 != announced) {
                return false;
            }
            firstByte = first(range);
        }
        length = announced;
        entityTag = response.headers().get(HttpHeaderNames.ETAG);
        started = true;
        return true;
    }

    /** Whether a further response holds exactly the missing bytes of the same object. */
    boolean isContinuedBy(HttpResponse response) {
        Matcher range = range(response);
        return response.status().code() == PARTIAL_CONTENT && range.matches()
            && first(range) == firstByte + forwarded
            && last(range) == firstByte + length - 1
            && entityTag.equals(response.headers().get(HttpHeaderNames.ETAG));
    }

    private static Matcher range(HttpResponse response) {
        return CONTENT_RANGE.matcher(response.headers().get(HttpHeaderNames.CONTENT_RANGE, ""));
    }

    private static long first(Matcher range) {
        return Long.parseLong(range.group(1));
    }

    private static long last(Matcher range) {
        return Long.parseLong(range.group(2));
    }

    /** Counts bytes that were forwarded to the client. */
    void addForwarded(int bytes) {
        forwarded += bytes;
    }

    /** Requests the missing bytes, on the condition that the object has not changed. */
    void addResumeHeaders(HttpHeaders headers) {
        headers.set(HttpHeaderNames.RANGE, "bytes=" + (firstByte + forwarded) + "-" + (firstByte + length - 1));
        headers.set(HttpHeaderNames.IF_MATCH, entityTag);
    }

    /** A truncated response can be resumed only if its end is known and a strong entity tag identifies the object. */
    boolean isResumable() {
        return length >= 0 && entityTag != null && !entityTag.startsWith("W/");
    }
}
