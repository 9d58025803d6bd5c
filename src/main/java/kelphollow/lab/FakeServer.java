package kelphollow.lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on the loopback interface with a thread per request, for the fake parties that the program talks to. */
final class FakeServer implements AutoCloseable {
    /** Answers one request; the exchange is closed when it returns. */
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

    /** Starts a server on a free port for all paths under this one. */
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

    /** Stops at once and interrupts the requests in progress. */
    @Override public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
