package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A listening socket on a free loopback port; each connection is served by a thread of its own. */
final class Listener {
    /** Serves one connection, which is closed afterwards. An exception means that the other side has closed it. */
    interface Service {
        void serve(Socket connection) throws Exception;
    }

    private final ServerSocket socket;
    private final String name;
    private final Service service;

    Listener(String name, Service service) throws IOException {
        this.name = name;
        this.service = service;
        socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        start(name, this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** The address as text, host and port. */
    String text() {
        return "127.0.0.1:" + port();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = socket.accept();
                start(name + " connection", () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            service.serve(connection);
        } catch (Exception e) {
            // the other side has closed the connection
        }
    }
}
