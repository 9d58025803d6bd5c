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
 * Storage nodes that speak the object API, from its public description. A node notes each request in the history before it
 * answers. Safe from any thread.
 */
final class FakeNodes implements AutoCloseable {
    /** How a node takes requests. */
    enum Behavior {
        /** It answers them. */
        HEALTHY("back"),
        /** It says nothing at all. */
        UNRESPONSIVE("silent"),
        /** It says at once that it cannot. */
        FAILING("failing");

        private final String historyWord;

        Behavior(String historyWord) {
            this.historyWord = historyWord;
        }

        /** What the history says when a node begins to behave so. */
        String historyWord() {
            return historyWord;
        }
    }

    /** One node: its cores are taken in turn of arrival. */
    private static final class Node {
        private final String name;
        private final FakeServer server;
        private final Semaphore cores;
        /** Requests at work or waiting. */
        private final AtomicInteger inside = new AtomicInteger();
        private volatile Behavior behavior = Behavior.HEALTHY;
        private volatile double slowdown = 1;

        Node(String name, int cores, FakeNodes nodes) throws IOException {
            this.name = name;
            this.cores = new Semaphore(cores, true);
            this.server = new FakeServer("/", exchange -> nodes.answer(this, exchange));
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

    /** The nodes' ports by their names, in order. */
    Map<String, Integer> ports() {
        Map<String, Integer> ports = new LinkedHashMap<>();
        nodes.forEach((name, node) -> ports.put(name, node.server.port()));
        return ports;
    }

    private void answer(Node node, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String[] path = exchange.getRequestURI().getPath().split("/");
        history.add(node.name, "attempt", "request", path[path.length - 1], "method", exchange.getRequestMethod());
        Behavior behavior = node.behavior;
        if (behavior == Behavior.UNRESPONSIVE) {
            closed.await();                // it took the request and says nothing, for good
        } else if (behavior == Behavior.FAILING) {
            exchange.sendResponseHeaders(500, -1);
        } else if (capacity.service() > 0 && !work(node)) {
            exchange.sendResponseHeaders(503, -1);
        } else {
            exchange.getResponseHeaders().add("ETag", "\"e\"");
            byte[] answer = body.length > 0 ? new byte[0] : "value".getBytes(StandardCharsets.US_ASCII);
            exchange.sendResponseHeaders(200, answer.length == 0 ? -1 : answer.length);
            exchange.getResponseBody().write(answer);
        }
    }

    /** Takes its time; false if there is no room to wait. Whoever has gone meanwhile is worked for all the same. */
    private boolean work(Node node) throws InterruptedException {
        try {
            if (node.inside.incrementAndGet() > capacity.cores() + capacity.queue()) {
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
            node.inside.decrementAndGet();
        }
    }

    /** The node behaves so from its next request on, at its usual speed. */
    void behave(String name, Behavior behavior) {
        history.add(HistoryLine.LAB, behavior.historyWord(), "node", name);
        nodes.get(name).behavior = behavior;
        nodes.get(name).slowdown = 1;
    }

    /** The node takes so many times its service time from now on. */
    void slowDown(String name, double times) {
        history.add(HistoryLine.LAB, "slow", "node", name, "by", times);
        nodes.get(name).slowdown = times;
    }

    @Override public void close() {
        closed.countDown();
        nodes.values().forEach(node -> node.server.close());
    }
}
