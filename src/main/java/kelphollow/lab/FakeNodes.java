package kelphollow.lab;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Storage nodes that serve the object API, written from its public description. A node records each request in the history
 * before it answers. Thread-safe.
 */
final class FakeNodes implements AutoCloseable {
    /** How a node responds to requests. */
    enum Behavior {
        /** Answers them. */
        HEALTHY("back"),
        /** Reads them and never answers. */
        UNRESPONSIVE("silent"),
        /** Answers 500 at once. */
        FAILING("failing");

        private final String historyWord;

        Behavior(String historyWord) {
            this.historyWord = historyWord;
        }

        /** The event that the history records when a node changes to this behavior. */
        String historyWord() {
            return historyWord;
        }
    }

    /** One node; requests get its cores in the order of their arrival. */
    private static final class Node {
        private final String name;
        private final FakeServer server;
        private final Semaphore cores;
        /** Requests in service or waiting for a core. */
        private final AtomicInteger inFlight = new AtomicInteger();
        private volatile Behavior behavior = Behavior.HEALTHY;
        private volatile double slowdown = 1;

        Node(String name, int cores, FakeNodes nodes) throws IOException {
            this.name = name;
            this.cores = new Semaphore(cores, true);
            this.server = new FakeServer("/", exchange -> nodes.handle(this, exchange));
        }
    }

    private final History history;
    private final Scenario.NodeCapacity capacity;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    FakeNodes(History history, int count, Scenario.NodeCapacity capacity) throws IOException {
        this.history = history;
        this.capacity = capacity;
        for (int i = 0; i < count; i++) {
            String name = "n" + i;
            nodes.put(name, new Node(name, capacity.cores(), this));
        }
    }

    /** Returns the nodes' ports by node name, in order of creation. */
    Map<String, Integer> ports() {
        Map<String, Integer> ports = new LinkedHashMap<>();
        nodes.forEach((name, node) -> ports.put(name, node.server.port()));
        return ports;
    }

    private void handle(Node node, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String[] path = exchange.getRequestURI().getPath().split("/");
        history.add(node.name, "attempt", "request", path[path.length - 1], "method", exchange.getRequestMethod());
        Behavior behavior = node.behavior;
        if (behavior == Behavior.UNRESPONSIVE) {
            closed.await();                // holds the request unanswered until the nodes are closed
        } else if (behavior == Behavior.FAILING) {
            exchange.sendResponseHeaders(500, -1);
        } else if (capacity.service() > 0 && !serve(node)) {
            exchange.sendResponseHeaders(503, -1);
        } else {
            exchange.getResponseHeaders().add("ETag", "\"e\"");
            byte[] answer = body.length > 0 ? new byte[0] : "value".getBytes(StandardCharsets.US_ASCII);
            exchange.sendResponseHeaders(200, answer.length == 0 ? -1 : answer.length);
            exchange.getResponseBody().write(answer);
        }
    }

    /** Serves a request on a core; false if the queue is full. A request whose client has disconnected is served too. */
    private boolean serve(Node node) throws InterruptedException {
        try {
            if (node.inFlight.incrementAndGet() > capacity.cores() + capacity.queue()) {
                return false;
            }
            node.cores.acquire();
            try {
                TimeUnit.NANOSECONDS.sleep((long) (capacity.service() * node.slowdown * 1e6));
            } finally {
                node.cores.release();
            }
            return true;
        } finally {
            node.inFlight.decrementAndGet();
        }
    }

    /** Sets a node's behavior from its next request on, and resets its speed. */
    void setBehavior(String name, Behavior behavior) {
        history.add(HistoryLine.LAB, behavior.historyWord(), "node", name);
        nodes.get(name).behavior = behavior;
        nodes.get(name).slowdown = 1;
    }

    /** Multiplies the service time of a node from now on. */
    void setSlowdown(String name, double factor) {
        history.add(HistoryLine.LAB, "slow", "node", name, "by", factor);
        nodes.get(name).slowdown = factor;
    }

    @Override public void close() {
        closed.countDown();
        nodes.values().forEach(node -> node.server.close());
    }
}
