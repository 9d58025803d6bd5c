package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An xDS server by REST: one cluster and its endpoints, each with a version. */
final class Xds {
    private final Listener listener;
    private String version = "1";
    private String assignment;

    Xds(String assignment) throws IOException {
        this.assignment = assignment;
        listener = new Listener("xds", this::serve);
    }

    /** The section xds of a gateway's file. */
    String section() {
        return "{\"cluster\": \"dump-store\", \"server\": \"" + listener.text() + "\"}";
    }

    synchronized void tell(String nextVersion, String next) {
        version = nextVersion;
        assignment = next;
        Record.line("xDS: version %s: %s", nextVersion, next.replaceAll("\\s+", " "));
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Http.Head head;
        while ((head = Http.readHead(in)) != null) {
            String request = new String(Http.readBody(in, Math.max(0, head.length())), StandardCharsets.UTF_8);
            socket.getOutputStream().write(answer(head.first().contains(":clusters"), request));
        }
    }

    private synchronized byte[] answer(boolean clusters, String request) {
        String current = clusters ? "1" : version;
        if (request.matches("(?s).*\"version_info\"\\s*:\\s*\"" + current + "\".*")) {
            return Http.response(304, "", new byte[0]);
        }
        String body = "{\"version_info\": \"" + current + "\", \"resources\": ["
            + (clusters ? Gateway.cluster() : assignment) + "]}";
        return Http.response(200, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }
}
