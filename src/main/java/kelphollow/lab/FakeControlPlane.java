package kelphollow.lab;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import kelphollow.protocol.json.Json;

/**
 * A control plane that speaks xDS by REST, from its public description. Each instance may get another list; the history says
 * when it does. Safe from any thread.
 */
final class FakeControlPlane implements AutoCloseable {
    private final History history;
    private final Map<String, Integer> nodePorts;
    /** Nodes that drain as each instance gets the list, and how often that changed. */
    private final Map<String, Set<String>> draining = new ConcurrentHashMap<>();
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final FakeServer server;
    private volatile boolean down;

    /** {@code nodePorts}: where each node listens. */
    FakeControlPlane(History history, Map<String, Integer> nodePorts) throws IOException {
        this.history = history;
        this.nodePorts = nodePorts;
        this.server = new FakeServer("/v3/", this::answer);
    }

    int port() {
        return server.port();
    }

    private void answer(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (down) {
            return;                        // the connection ends without an answer
        }
        Map<?, ?> request = (Map<?, ?>) Json.parse(body);
        String instance = (String) ((Map<?, ?>) request.get("node")).get("id");
        boolean isForClusters = exchange.getRequestURI().getPath().endsWith(":clusters");
        Set<String> drained = draining.getOrDefault(instance, Set.of());
        String version = isForClusters ? "c1" : "e" + versions.getOrDefault(instance, 1);
        Object resource = isForClusters ? cluster() : assignment(drained);
        byte[] answer = History.json(Map.of("version_info", version, "resources", List.of(resource)))
            .getBytes(StandardCharsets.UTF_8);
        boolean isNews = !isForClusters && !version.equals(request.get("version_info"));
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        if (isNews) {
            history.add("plane", "told", "instance", instance, "draining", drained);
        }
    }

    private static Map<String, Object> cluster() {
        return Map.of("name", "lab", "eds_cluster_config", Map.of("service_name", "lab"));
    }

    private Map<String, Object> assignment(Set<String> drained) {
        List<Object> endpoints = new ArrayList<>();
        nodePorts.forEach((node, port) -> endpoints.add(endpoint(node, port, drained.contains(node))));
        return Map.of("cluster_name", "lab", "endpoints",
            List.of(Map.of("locality", Map.of("zone", "z0"), "lb_endpoints", endpoints)));
    }

    private static Map<String, Object> endpoint(String node, int port, boolean drains) {
        Object address = Map.of("socket_address", Map.of("address", "127.0.0.1", "port_value", port));
        Object metadata = Map.of("kelphollow", Map.of("shard", Integer.parseInt(node.substring(1))));
        return Map.of("endpoint", Map.of("address", address), "health_status", drains ? "DRAINING" : "HEALTHY", "metadata",
            Map.of("filter_metadata", metadata));
    }

    /** From its next poll on the instance gets a list in which just these nodes drain. */
    void drain(String instance, Set<String> nodes) {
        draining.put(instance, Set.copyOf(nodes));
        versions.merge(instance, 2, (old, first) -> old + 1);
    }

    /** It answers from now on, or no more. */
    void setUp(boolean up) {
        history.add(HistoryLine.LAB, up ? "discovery-up" : "discovery-down");
        down = !up;
    }

    @Override public void close() {
        server.close();
    }
}
