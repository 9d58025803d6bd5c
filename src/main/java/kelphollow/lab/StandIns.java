package kelphollow.lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import kelphollow.protocol.json.Json;

/**
 * Storage nodes that speak the object API, and a control plane that speaks xDS by REST, from their public descriptions.
 * A node notes each request before it answers. Each instance may be told another list.
 */
final class StandIns implements AutoCloseable {
    /** How a node takes requests: it answers them, says nothing at all, or says at once that it cannot. */
    enum Mood {
        WELL, SILENT, FAILING
    }

    private final History history;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Mood> moods = new ConcurrentHashMap<>();
    private final Scenario.Power power;
    private final Map<String, Room> rooms = new ConcurrentHashMap<>();
    /** Nodes that each instance is told to drain, and how often that changed. */
    private final Map<String, Set<String>> draining = new ConcurrentHashMap<>();
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile boolean down;
    private final int planePort;

    /** One node's cores, and all that is there, at work or waiting; in turn of arrival. */
    private static final class Room {
        final Semaphore cores;
        final AtomicInteger inside = new AtomicInteger();
        volatile double slow = 1;

        Room(int cores) {
            this.cores = new Semaphore(cores, true);
        }
    }

    StandIns(History history, int nodes, Scenario.Power power) throws IOException {
        this.history = history;
        this.power = power;
        for (int i = 0; i < nodes; i++) {
            String name = "n" + i;
            rooms.put(name, new Room(power.cores()));
            ports.put(name, serve("/", exchange -> node(name, exchange)));
        }
        planePort = serve("/v3/", this::plane);
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private int serve(String path, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(threads);
        server.createContext(path, exchange -> {
            try (exchange) {
                handler.handle(exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
        servers.add(server);
        return server.getAddress().getPort();
    }

    private void node(String name, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String[] path = exchange.getRequestURI().getPath().split("/");
        history.add(name, "attempt", "request", path[path.length - 1], "method", exchange.getRequestMethod());
        Mood mood = moods.getOrDefault(name, Mood.WELL);
        if (mood == Mood.SILENT) {
            over.await();                  // it took the request and says nothing, for good
            return;
        }
        if (mood == Mood.FAILING) {
            exchange.sendResponseHeaders(500, -1);
            return;
        }
        if (power.service() > 0 && !work(rooms.get(name))) {
            exchange.sendResponseHeaders(503, -1);
            return;
        }
        exchange.getResponseHeaders().add("ETag", "\"e\"");
        byte[] answer = body.length > 0 ? new byte[0] : "value".getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(200, answer.length == 0 ? -1 : answer.length);
        exchange.getResponseBody().write(answer);
    }

    /** Takes its time; false if there is no room to wait. Whoever has gone meanwhile is worked for all the same. */
    private boolean work(Room room) throws InterruptedException {
        try {
            if (room.inside.incrementAndGet() > power.cores() + power.queue()) {
                return false;
            }
            room.cores.acquire();
            try {
                TimeUnit.NANOSECONDS.sleep((long) (power.service() * room.slow * 1e6));
            } finally {
                room.cores.release();
            }
            return true;
        } finally {
            room.inside.decrementAndGet();
        }
    }

    private void plane(HttpExchange exchange) throws IOException {
        String asked = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (down) {
            return;                        // the connection ends without an answer
        }
        Map<?, ?> request = (Map<?, ?>) Json.parse(asked);
        String instance = (String) ((Map<?, ?>) request.get("node")).get("id");
        boolean clusters = exchange.getRequestURI().getPath().endsWith(":clusters");
        Set<String> drained = draining.getOrDefault(instance, Set.of());
        int number = versions.getOrDefault(instance, 1);
        String version = clusters ? "c1" : "e" + number;
        Object resource = clusters ? Map.of("name", "lab", "eds_cluster_config", Map.of("service_name", "lab"))
            : Map.of("cluster_name", "lab", "endpoints", List.of(Map.of("locality", Map.of("zone", "z0"),
                "lb_endpoints", endpoints(drained))));
        byte[] answer = History.json(Map.of("version_info", version, "resources", List.of(resource)))
            .getBytes(StandardCharsets.UTF_8);
        boolean news = !clusters && !version.equals(request.get("version_info"));
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        if (news) {
            history.add("plane", "told", "instance", instance, "draining", drained);
        }
    }

    private List<Object> endpoints(Set<String> drained) {
        List<Object> endpoints = new ArrayList<>();
        ports.forEach((node, port) -> endpoints.add(Map.of("endpoint", Map.of("address", Map.of("socket_address",
            Map.of("address", "127.0.0.1", "port_value", port))), "health_status",
            drained.contains(node) ? "DRAINING" : "HEALTHY", "metadata", Map.of("filter_metadata", Map.of("kelphollow",
                Map.of("shard", Integer.parseInt(node.substring(1))))))));
        return endpoints;
    }

    int planePort() {
        return planePort;
    }

    /** A node that is well has its usual pace too. */
    void mood(String node, Mood mood) {
        moods.put(node, mood);
        slow(node, 1);
    }

    void slow(String node, double by) {
        rooms.get(node).slow = by;
    }

    /** From its next call on the instance is told that just these nodes drain. */
    void drain(String instance, Set<String> nodes) {
        draining.put(instance, Set.copyOf(nodes));
        versions.merge(instance, 2, (old, first) -> old + 1);
    }

    void discovery(boolean up) {
        down = !up;
    }

    @Override public void close() {
        over.countDown();
        servers.forEach(s -> s.stop(0));
        threads.shutdownNow();
    }
}
