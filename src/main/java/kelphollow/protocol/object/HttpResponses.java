package kelphollow.protocol.object;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Creates the HTTP responses to clients. The write that sends a response releases it. */
final class HttpResponses {
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
        "transfer-encoding", "upgrade", "te", "trailer");
    private static final int NOT_MODIFIED = 304;
    private static final double MILLIS_PER_SECOND = 1000;

    private HttpResponses() {}

    /** The interim response that tells a client to send its body. */
    static FullHttpResponse continueResponse() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** The head of a node's response; its content is streamed after it. */
    static HttpResponse streamed(HttpResponse head, boolean keepAlive) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        copyHeaders(head.headers(), response.headers());
        HttpUtil.setTransferEncodingChunked(response, !HttpUtil.isContentLengthSet(response));
        HttpUtil.setKeepAlive(response, keepAlive);
        return response;
    }

    /** A node's complete response. */
    static FullHttpResponse complete(NodeResponse from, HttpMethod method) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(from.status()), Unpooled.wrappedBuffer(from.body()));
        copyHeaders(from.headers(), response.headers());
        if (!method.equals(HttpMethod.HEAD) && from.status() != NOT_MODIFIED) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, from.body().length);
        }
        return response;
    }

    /** The response to an upload of a part that is already stored. */
    static FullHttpResponse partStored(String etag) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
            Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.ETAG, etag).set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return response;
    }

    /** An error response in S3's format, without the body if the request is a HEAD. */
    static FullHttpResponse error(S3Error error, HttpRequest request, String requestId) {
        byte[] body = S3Xml.error(error, request.uri(), requestId);
        boolean headOnly = request.method().equals(HttpMethod.HEAD);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, error.status(),
            headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_XML)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (error.retryAfter() > 0) {
            long seconds = (long) Math.ceil(error.retryAfter() / MILLIS_PER_SECOND);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }

    private static void copyHeaders(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            if (!HOP_BY_HOP.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
