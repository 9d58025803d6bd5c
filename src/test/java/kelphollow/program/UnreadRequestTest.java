package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against closing an idle connection whose next request has arrived but is not read, because the loop was late. */
@Timeout(20)
class UnreadRequestTest {
    private static final int LATE_BY_MS = 12_500;
    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final String PONG = "+PONG\r\n";
    private static final String HEAD = "HEAD /nobody/a HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\n";

    /** Sends a request while the loop is held up until the connection's idle time has passed, and returns the response. */
    private static String requestWhileLate(ServerHarness server, String request, int length) throws Exception {
        try (Socket client = new Socket(server.address.getAddress(), server.address.getPort())) {
            client.setSoTimeout(10_000);                   // bounds a failing test
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readNBytes(length);
            Thread.sleep(50);
            client.getInputStream().skip(client.getInputStream().available());
            CountDownLatch sent = new CountDownLatch(1);
            server.loop.execute(() -> {
                awaitUninterruptibly(sent);
                server.ticker.advance(LATE_BY_MS);
            });
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(50);                              // until the bytes are in the program's receive buffer
            sent.countDown();
            return new String(client.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test void aLatePlatformFrontAnswersWhatArrivedBeforeItClosesAnIdleConnection() throws Exception {
        try (ServerHarness server = ServerHarness.resp(null, new InetSocketAddress("127.0.0.1", 1))) {
            assertEquals(PONG, requestWhileLate(server, PING, PONG.length()));
        }
    }

    @Test void aLateObjectFrontAnswersWhatArrivedBeforeItClosesAnIdleConnection() throws Exception {
        try (ServerHarness server = ServerHarness.objects(Map.of(), new InetSocketAddress("127.0.0.1", 1),
            new InetSocketAddress("127.0.0.1", 2))) {
            assertEquals(NOT_FOUND, requestWhileLate(server, HEAD, NOT_FOUND.length()));
        }
    }
}
