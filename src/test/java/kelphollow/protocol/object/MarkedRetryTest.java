package kelphollow.protocol.object;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The header by which S3 SDKs mark a request as their own retry. */
class MarkedRetryTest {
    private static HttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/bucket/key");
    }

    @ParameterizedTest @CsvSource({"'attempt=1; max=3',false", "'attempt=2; max=3',true", "'max=3;attempt=10',true",
        "'ttl=20260101T000000Z; attempt=3; max=3',true", "'attempt=0',false", "'attempt=',false", "'attempt=2x',false",
        "'attempt=-2',false", "'noattempt=2',false", "'attempt=999999999999',false",
        "'',false"}) void onlyAnAttemptNumberAboveOneMarksARetry(String header, boolean isRetry) throws Exception {
        HttpRequest request = request();
        request.headers().set("amz-sdk-request", header);

        assertEquals(isRetry, ObjectCall.parse(request, 1).isMarkedRetry());
    }

    @Test void missingHeaderCountsAsAFirstAttempt() throws Exception {
        assertFalse(ObjectCall.parse(request(), 1).isMarkedRetry());
    }
}
