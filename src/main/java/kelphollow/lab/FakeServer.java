package kelphollow.lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server of the loopback with a thread for each request, for parties that the program talks to. */
final class FakeServer implements AutoCloseable {
    /** What answers a request; the exchange is closed after it. */
    interface Handler {
        void handle(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private static final int BACKLOG = 256;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "fake-server");
        thread.setDaemon(true);
        return thread;
    });

    /** Serves what lies under the path, from now on. */
    FakeServer(String path, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext(path, exchange -> {
            try (exchange) {
                handler.handle(exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Ends at once; requests that are being answered are interrupted. */
    @Override public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
