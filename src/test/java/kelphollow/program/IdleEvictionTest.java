package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients with idle connections must not block new clients: at the connection limit an idle connection is evicted. */
@Timeout(20)
class IdleEvictionTest {
    private static final int MAX_CONNECTIONS = ServerHarness.SOCKETS / 2;

    /** Opens one connection more than the limit and checks that the last two are answered. */
    private static void overfill(ServerHarness server, String request, String response) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                sockets.add(new Socket(server.address.getAddress(), server.address.getPort()));
            }
            Socket last = sockets.get(sockets.size() - 1);
            assertEquals(response, call(last, request, response.length()),
                "the last connection within the limit is accepted");
            server.ticker.advance(300);   // a connection that was just accepted is not evicted

            Socket next = new Socket(server.address.getAddress(), server.address.getPort());
            sockets.add(next);

            assertEquals(response, call(next, request, response.length()));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static String call(Socket socket, String request, int length) throws IOException {
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(request.getBytes());
        return new String(socket.getInputStream().readNBytes(length));
    }

    @Test void aNewPlatformClientReplacesAnIdleOne() throws Exception {
        try (ServerHarness server = ServerHarness.resp(null, new InetSocketAddress("127.0.0.1", 1))) {
            overfill(server, "*1\r\n$4\r\nPING\r\n", "+PONG\r\n");
        }
    }

    @Test void aNewObjectApiClientReplacesAnIdleOne() throws Exception {
        try (ServerHarness server = ServerHarness.objects(Map.of("sockets", (double) ServerHarness.SOCKETS),
            new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2))) {
            overfill(server, "GET /nobody/a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404 Not Found\r\n");
        }
    }
}
