package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An xDS server by REST: one cluster and its endpoints, each with a version. */
final class Xds {
    private final ServerSocket listener;
    private String version = "1";
    private String assignment;

    Xds(String assignment) throws IOException {
        this.assignment = assignment;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "xds");
        thread.setDaemon(true);
        thread.start();
    }

    /** The section xds of a gateway's file. */
    String section() {
        return "{\"cluster\": \"dump-store\", \"server\": \"127.0.0.1:" + listener.getLocalPort() + "\"}";
    }

    synchronized void tell(String nextVersion, String next) {
        version = nextVersion;
        assignment = next;
        Record.line("xDS: version %s: %s", nextVersion, next.replaceAll("\\s+", " "));
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "xds call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                String request = new String(Http.readBody(in, Math.max(0, head.length())), StandardCharsets.UTF_8);
                boolean clusters = head.first().contains(":clusters");
                String body;
                synchronized (this) {
                    String current = clusters ? "1" : version;
                    boolean known = request.matches("(?s).*\"version_info\"\\s*:\\s*\"" + current + "\".*");
                    body = known ? null : "{\"version_info\": \"" + current + "\", \"resources\": ["
                        + (clusters ? Gateway.cluster() : assignment) + "]}";
                }
                socket.getOutputStream().write(body == null ? Http.response(304, "", new byte[0])
                    : Http.response(200, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8)));
            }
        } catch (Exception e) {
            // the gateway has closed the connection
        }
    }
}
