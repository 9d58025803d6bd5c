package kelphollow.protocol.xds;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;

/**
 * A DiscoveryRequest for one resource.
 *
 * @param collection last word of the request path
 * @param typeUrl type of the resource
 * @param resource name of the resource
 * @param version known version of the resource; empty: none
 */
record XdsRequest(String collection, String typeUrl, String resource, String version) {
    private static final JsonFactory JSON = new JsonFactory();

    /** Encodes the HTTP request, which the caller releases. */
    FullHttpRequest encode(XdsPoller.Query query) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            "/v3/discovery:" + collection, Unpooled.copiedBuffer(body(query), StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, query.host())
            .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            .setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return request;
    }

    private String body(XdsPoller.Query query) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("version_info", version);
            json.writeObjectFieldStart("node");
            json.writeStringField("id", query.nodeId());
            json.writeStringField("cluster", query.nodeCluster());
            json.writeEndObject();
            json.writeArrayFieldStart("resource_names");
            json.writeString(resource);
            json.writeEndArray();
            json.writeStringField("type_url", typeUrl);
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);   // a StringWriter does not throw
        }
        return text.toString();
    }
}
