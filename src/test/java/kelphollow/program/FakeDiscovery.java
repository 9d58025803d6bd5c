package kelphollow.program;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;

/** A discovery service or agent that records each poll and responds when the test provides a response. */
final class FakeDiscovery implements AutoCloseable {
    /** Placeholder for a response: closes the connection without one. */
    static final String CLOSE = "";

    /** Path and query of the received polls, in order. */
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    /** Bodies of the next responses; a poll blocks until one is available. */
    final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);

    FakeDiscovery() throws IOException {
        server.createContext("/catalog/members", this::respond);
        server.setExecutor(threads);
        server.start();
    }

    private void respond(HttpExchange exchange) throws IOException {
        requests.add(exchange.getRequestURI().toString());
        try {
            byte[] response = responses.take().getBytes(StandardCharsets.UTF_8);
            if (response.length > 0) {
                exchange.sendResponseHeaders(200, response.length);
                exchange.getResponseBody().write(response);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.close();
    }

    /** The body of an endpoint list without entries. */
    static String list(long version, boolean complete) {
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":[]}";
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    @Override public void close() {
        threads.shutdownNow();
        server.stop(0);
    }
}
