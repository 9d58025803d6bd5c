package kelphollow.scale;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import kelphollow.protocol.json.Json;

/**
 * Stub xDS server over REST that serves one endpoint per node of the scenario, the same to all processes, and counts its
 * responses. The endpoint addresses are never called, because the run sends no requests. Thread-safe.
 */
final class StubDiscoveryServer implements AutoCloseable {
    private static final int THREADS = 4;
    private static final int BACKLOG = 256;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final byte[] clusters;
    private final byte[] endpoints;
    private final AtomicLong responses = new AtomicLong();

    StubDiscoveryServer(ScaleScenario scenario) throws IOException {
        clusters = response("c1", Map.of("name", "scale", "eds_cluster_config", Map.of("service_name", "scale")));
        endpoints = response("e1", Map.of("cluster_name", "scale", "endpoints",
            List.of(Map.of("locality", Map.of("zone", "z0"), "lb_endpoints", lbEndpoints(scenario)))));
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext("/v3/", this::respond);
        server.start();
    }

    private static List<Object> lbEndpoints(ScaleScenario scenario) {
        List<Object> lbEndpoints = new ArrayList<>();
        for (int i = 0; i < scenario.nodes(); i++) {
            String name = SimulatedNodes.nodeName(i);
            int colon = name.lastIndexOf(':');
            lbEndpoints.add(Map.of("endpoint", Map.of("address", Map.of("socket_address",
                Map.of("address", name.substring(0, colon), "port_value", Integer.parseInt(name.substring(colon + 1))))),
                "health_status", i < scenario.state().drains() ? "DRAINING" : "HEALTHY",
                "metadata", Map.of("filter_metadata", Map.of("kelphollow", Map.of("shard", i)))));
        }
        return lbEndpoints;
    }

    private static byte[] response(String version, Object resource) {
        return Json.write(Map.of("version_info", version, "resources", List.of(resource))).getBytes(StandardCharsets.UTF_8);
    }

    private void respond(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            byte[] response = exchange.getRequestURI().getPath().endsWith(":clusters") ? clusters : endpoints;
            responses.incrementAndGet();
            exchange.sendResponseHeaders(200, response.length);
            exchange.getResponseBody().write(response);
        }
    }

    int port() {
        return server.getAddress().getPort();
    }

    long responses() {
        return responses.get();
    }

    @Override public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
