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

/** A discovery, or an agent of it, that notes each poll and responds to it when the test says so. */
final class StandInDiscovery implements AutoCloseable {
    /** A response that is none: the connection ends. */
    static final String CLOSE = "";

    /** Path and query of the polls, in order. */
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    /** Bodies of the responses to come; a poll waits for the next one. */
    final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);

    StandInDiscovery() throws IOException {
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

    /** The body of a list without nodes. */
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
