package kelphollow.program;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;

/** A discovery, or an agent of it, that notes how it is asked and answers each call when the test says so. */
final class FakeDiscovery implements AutoCloseable {
    /** An answer that is none: the connection ends. */
    static final String CLOSE = "";

    final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
    final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);

    FakeDiscovery() throws IOException {
        server.createContext("/catalog/members", exchange -> {
            asked.add(exchange.getRequestURI().toString());
            try {
                byte[] answer = answers.take().getBytes(StandardCharsets.UTF_8);
                if (answer.length > 0) {
                    exchange.sendResponseHeaders(200, answer.length);
                    exchange.getResponseBody().write(answer);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.close();
        });
        server.setExecutor(threads);
        server.start();
    }

    static String list(long version, boolean whole) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[]}";
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    @Override public void close() {
        threads.shutdownNow();
        server.stop(0);
    }
}
