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
 * A control plane that serves xDS over REST, written from the protocol's public description. Each instance can be given its
 * own endpoint list; the history records when an instance fetches a changed list. Thread-safe.
 */
final class FakeControlPlane implements AutoCloseable {
    private final History history;
    private final Map<String, Integer> nodePorts;
    /** The draining nodes in each instance's endpoint list. */
    private final Map<String, Set<String>> draining = new ConcurrentHashMap<>();
    /** The version of each instance's endpoint list; absent means 1. */
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final FakeServer server;
    private volatile boolean down;

    /** Starts the server; {@code nodePorts} holds the loopback port of each node. */
    FakeControlPlane(History history, Map<String, Integer> nodePorts) throws IOException {
        this.history = history;
        this.nodePorts = nodePorts;
        this.server = new FakeServer("/v3/", this::handle);
    }

    int port() {
        return server.port();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (down) {
            return;                        // closes the connection without an answer
        }
        Map<?, ?> request = (Map<?, ?>) Json.parse(body);
        String instance = (String) ((Map<?, ?>) request.get("node")).get("id");
        boolean isForClusters = exchange.getRequestURI().getPath().endsWith(":clusters");
        Set<String> drainingNodes = draining.getOrDefault(instance, Set.of());
        String version = isForClusters ? "c1" : "e" + versions.getOrDefault(instance, 1);
        Object resource = isForClusters ? cluster() : assignment(drainingNodes);
        byte[] answer = History.json(Map.of("version_info", version, "resources", List.of(resource)))
            .getBytes(StandardCharsets.UTF_8);
        boolean isNewVersion = !isForClusters && !version.equals(request.get("version_info"));
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        if (isNewVersion) {
            history.add("plane", "told", "instance", instance, "draining", drainingNodes);
        }
    }

    private static Map<String, Object> cluster() {
        return Map.of("name", "lab", "eds_cluster_config", Map.of("service_name", "lab"));
    }

    private Map<String, Object> assignment(Set<String> drainingNodes) {
        List<Object> endpoints = new ArrayList<>();
        nodePorts.forEach((node, port) -> endpoints.add(endpoint(node, port, drainingNodes.contains(node))));
        return Map.of("cluster_name", "lab", "endpoints",
            List.of(Map.of("locality", Map.of("zone", "z0"), "lb_endpoints", endpoints)));
    }

    private static Map<String, Object> endpoint(String node, int port, boolean drains) {
        Object address = Map.of("socket_address", Map.of("address", "127.0.0.1", "port_value", port));
        Object metadata = Map.of("kelphollow", Map.of("shard", Integer.parseInt(node.substring(1))));
        return Map.of("endpoint", Map.of("address", address), "health_status", drains ? "DRAINING" : "HEALTHY", "metadata",
            Map.of("filter_metadata", metadata));
    }

    /** Marks exactly these nodes as draining in the list that the instance gets from its next poll on. */
    void setDraining(String instance, Set<String> nodes) {
        draining.put(instance, Set.copyOf(nodes));
        versions.merge(instance, 2, (old, first) -> old + 1);
    }

    /** Answers requests from now on, or closes their connections unanswered. */
    void setAvailable(boolean up) {
        history.add(HistoryLine.LAB, up ? "discovery-up" : "discovery-down");
        down = !up;
    }

    @Override public void close() {
        server.close();
    }
}
