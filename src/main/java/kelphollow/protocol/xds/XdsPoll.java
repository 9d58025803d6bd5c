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
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.protocol.json.Json;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.EndpointSource;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.routing.Ticker;
import kelphollow.transport.HttpCall;

/**
 * xDS by REST: asks for the cluster, then for its endpoints, again and again while both go well. A faulty answer is
 * rejected whole and the last good list stands; the module then says when to ask again.
 */
public final class XdsPoll implements EndpointSource {
    /** What to ask for, and how often; times in milliseconds. */
    public record Query(String host, String cluster, int shards, String nodeId, String nodeCluster, double refresh) {}

    private static final Logger LOG = Logger.getLogger(XdsPoll.class.getName());
    private static final double PATIENCE = 2_000;
    private static final JsonFactory JSON = new JsonFactory();

    private final HttpCall calls;
    private final Ticker ticker;
    private final RequestRouter router;
    private final Query query;
    private boolean watching, stopped;
    private String clusterVersion = "", endpointVersion = "";
    private XdsClusters.Cluster cluster;
    private final Consumer<List<ResolvedEndpoint>> told;
    private List<ResolvedEndpoint> members = List.of();

    /** {@code told} hears the whole list each time that it is told or confirmed. */
    public XdsPoll(HttpCall calls, Ticker ticker, RequestRouter router, Query query, Consumer<List<ResolvedEndpoint>> told) {
        this.calls = calls;
        this.ticker = ticker;
        this.router = router;
        this.query = query;
        this.told = told;
    }

    @Override public void watch() {
        if (!watching && !stopped) {
            watching = true;
            askClusters();
        }
    }

    @Override public void stop() {
        stopped = true;
        calls.close();
    }

    private void askClusters() {
        if (stopped) {
            return;
        }
        ask("clusters", XdsClusters.CLUSTER, query.cluster(), clusterVersion, (version, resources) -> {
            if (resources != null) {
                XdsClusters.Cluster news = XdsClusters.cluster(resources, query.cluster(), query.shards());
                // A cluster that names other endpoints makes what is known of the old ones' version worthless.
                if (cluster == null || !cluster.serviceName().equals(news.serviceName())) {
                    endpointVersion = "";
                }
                cluster = news;
                clusterVersion = version;
                if (news.inline() != null) {
                    learn(news.inline());
                }
            }
            if (cluster.inline() == null) {
                askEndpoints();
            } else {
                later();
            }
        });
    }

    private void askEndpoints() {
        ask("endpoints", XdsClusters.ASSIGNMENT, cluster.serviceName(), endpointVersion, (version, resources) -> {
            if (resources != null) {
                List<ResolvedEndpoint> news = XdsClusters.endpoints(resources, cluster.serviceName(), query.shards());
                endpointVersion = version;
                learn(news);
            }
            later();
        });
    }

    private void learn(List<ResolvedEndpoint> news) {
        members = news;
        router.learn(news, true, false);
    }

    /** All went well: the list as it stands has been told or confirmed. */
    private void later() {
        told.accept(members);
        ticker.after(query.refresh(), this::askClusters);
    }

    /** Takes the resources of a new version, or null when there is none. */
    private interface News {
        void take(String version, List<?> resources);
    }

    private void ask(String what, String type, String resource, String version, News news) {
        calls.send(request(what, type, resource, version), PATIENCE, new HttpCall.Reply() {
            @Override public void answered(int status, String body) {
                try {
                    if (status == 304) {
                        news.take(version, null);
                        return;
                    }
                    if (status != 200) {
                        throw new IllegalArgumentException("status " + status);
                    }
                    if (!(Json.parse(body) instanceof Map<?, ?> map)) {
                        throw new IllegalArgumentException("the answer is not an object");
                    }
                    Object told = map.containsKey("version_info") ? map.get("version_info") : map.get("versionInfo");
                    String next = told instanceof String s ? s : "";
                    boolean same = !next.isEmpty() && next.equals(version);
                    if (!same && !(map.get("resources") instanceof List<?>)) {
                        throw new IllegalArgumentException("'resources' is missing");
                    }
                    news.take(next, same ? null : (List<?>) map.get("resources"));
                } catch (IOException | IllegalArgumentException e) {
                    failed(HttpCall.Failure.UNUSABLE, what + ": " + e.getMessage());
                }
            }

            @Override public void failed(HttpCall.Failure failure, String why) {
                LOG.warning(() -> "xDS, last good list stands: " + why);
                watching = false;
                router.endpointPollFailed(EndpointPollFailure.WATCH_BROKEN, ticker.now());
            }
        });
    }

    private FullHttpRequest request(String what, String type, String resource, String version) {
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
            json.writeStringField("type_url", type);
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);   // a StringWriter does not fail
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            "/v3/discovery:" + what, Unpooled.copiedBuffer(text.toString(), StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, query.host())
            .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            .setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return request;
    }
}
