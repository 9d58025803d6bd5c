package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that hold connections and say nothing must not keep others out. */
@Timeout(20)
class DiscoveryOverloadTest {
    private static void crowd(ServerHarness harness, String request, String answer) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < ServerHarness.SOCKETS / 2; i++) {
                sockets.add(new Socket(harness.address.getAddress(), harness.address.getPort()));
            }
            assertEquals(answer, ask(sockets.get(sockets.size() - 1), request, answer.length()), "all have been accepted");
            harness.ticker.advance(300);   // a connection that has just come is spared
            Socket usual = new Socket(harness.address.getAddress(), harness.address.getPort());
            sockets.add(usual);
            assertEquals(answer, ask(usual, request, answer.length()));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static String ask(Socket socket, String request, int length) throws IOException {
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(request.getBytes());
        return new String(socket.getInputStream().readNBytes(length));
    }

    @Test void aNewClientOfThePlatformGetsTheRoomOfASilentOne() throws Exception {
        try (ServerHarness harness = ServerHarness.resp(null, new InetSocketAddress("127.0.0.1", 1))) {
            crowd(harness, "*1\r\n$4\r\nPING\r\n", "+PONG\r\n");
        }
    }

    @Test void aNewClientOfTheObjectApiGetsTheRoomOfASilentOne() throws Exception {
        try (ServerHarness harness = ServerHarness.objects(java.util.Map.of("sockets", (double) ServerHarness.SOCKETS),
            new InetSocketAddress("127.0.0.1", 1),
            new InetSocketAddress("127.0.0.1", 2))) {
            crowd(harness, "GET /nobody/a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404 Not Found\r\n");
        }
    }
}
