package kelphollow.protocol.object;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How clients say that they have tried before, as the SDKs of S3 do. */
class MarkedRetryTest {
    @ParameterizedTest @CsvSource({"'attempt=1; max=3',false", "'attempt=2; max=3',true", "'max=3;attempt=10',true",
        "'ttl=20260101T000000Z; attempt=3; max=3',true", "'attempt=0',false", "'attempt=',false", "'attempt=2x',false",
        "'attempt=-2',false", "'noattempt=2',false", "'attempt=999999999999',false",
        "'',false"}) void whatCannotBeReadCountsAsAFirstTry(
            String said, boolean again) throws Exception {
        HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/bucket/key");
        request.headers().set("amz-sdk-request", said);
        assertEquals(again, ObjectCall.read(request, 1).isMarkedRetry());
        request.headers().remove("amz-sdk-request");
        assertFalse(ObjectCall.read(request, 1).isMarkedRetry());
    }
}
