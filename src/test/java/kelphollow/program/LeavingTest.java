package kelphollow.program;

import static org.junit.jupiter.api.Assertions.*;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** After SIGTERM the platform's clients, who have no other scheduler, are served for nearly as long as there is time. */
@Timeout(20)
class LeavingTest {
    private static String ping(Socket socket) throws Exception {
        socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes());
        return new String(socket.getInputStream().readNBytes(7));
    }

    @Test void aConnectionIsServedUntilHalfASecondBeforeTheKillAndThenCloses() throws Exception {
        try (Bench bench = Bench.resp(null, new InetSocketAddress("127.0.0.1", 1));
             Socket client = new Socket(bench.address.getAddress(), bench.address.getPort())) {
            client.setSoTimeout(10_000);
            CountDownLatch left = new CountDownLatch(1);
            bench.term(left::countDown);
            // The longest deadline counts as 3 s, so SIGKILL comes 3.7 s after SIGTERM at the soonest.
            for (int i = 0; i < 31; i++) {
                bench.ticker.advance(100);
                assertEquals("+PONG\r\n", ping(client), i + " tenths of a second after SIGTERM");
            }
            assertEquals(1, left.getCount());
            bench.ticker.advance(150);
            assertEquals(-1, client.getInputStream().read());
            bench.ticker.advance(250);                        // the client does not close; it is not waited for longer
            assertTrue(left.await(10, TimeUnit.SECONDS));
        }
    }
}
