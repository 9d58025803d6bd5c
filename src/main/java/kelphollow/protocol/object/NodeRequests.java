package kelphollow.protocol.object;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Creates the HTTP requests to object servers from clients' calls. */
final class NodeRequests {
    private static final Set<String> FORWARDED_HEADERS = Set.of("authorization", "cache-control", "content-disposition",
        "content-encoding", "content-language", "content-md5", "content-type", "date", "expires", "host", "if-match",
        "if-modified-since", "if-none-match", "if-unmodified-since", "range", "user-agent");
    private static final String AMAZON_PREFIX = "x-amz-";
    private static final byte[] NO_BODY = {};

    private NodeRequests() {}

    /** The head of a request; its body is streamed after it. */
    static HttpRequest streamed(Transfer transfer) {
        ObjectCall call = transfer.call();
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri());
        copyHeaders(transfer, request.headers());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.length());
        if (call.length() > 0) {
            request.headers().set(HttpHeaderNames.EXPECT, "100-continue");
        }
        return request;
    }

    /** A complete request, with its body if it has one. */
    static FullHttpRequest complete(Transfer transfer) {
        ObjectCall call = transfer.call();
        byte[] document = transfer.document();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
            Unpooled.wrappedBuffer(document == null ? NO_BODY : document));
        copyHeaders(transfer, request.headers());
        if (document != null) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, document.length);
        }
        return request;
    }

    private static void copyHeaders(Transfer transfer, HttpHeaders to) {
        for (Map.Entry<String, String> header : transfer.call().headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (FORWARDED_HEADERS.contains(name) || name.startsWith(AMAZON_PREFIX)) {
                to.add(header.getKey(), header.getValue());
            }
        }
        if (transfer.download().isStarted()) {
            transfer.download().addResumeHeaders(to);
        }
    }
}
