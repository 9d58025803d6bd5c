package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** After SIGTERM the platform's clients, who have no other scheduler, are served for nearly as long as there is time. */
@Timeout(20)
class GracefulShutdownTest {
    private static String ping(Socket socket) throws Exception {
        socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes());
        return new String(socket.getInputStream().readNBytes(7));
    }

    @Test void aConnectionIsServedUntilHalfASecondBeforeTheKillAndThenCloses() throws Exception {
        try (ServerHarness harness = ServerHarness.resp(null, new InetSocketAddress("127.0.0.1", 1));
             Socket client = new Socket(harness.address.getAddress(), harness.address.getPort())) {
            client.setSoTimeout(10_000);
            CountDownLatch left = new CountDownLatch(1);
            harness.sigterm(left::countDown);
            // The longest deadline counts as 3 s, so SIGKILL comes 3.7 s after SIGTERM at the soonest.
            for (int i = 0; i < 31; i++) {
                harness.ticker.advance(100);
                assertEquals("+PONG\r\n", ping(client), i + " tenths of a second after SIGTERM");
            }
            assertEquals(1, left.getCount());
            harness.ticker.advance(150);
            assertEquals(-1, client.getInputStream().read());
            harness.ticker.advance(250);                        // the client does not close; it is not waited for longer
            assertTrue(left.await(10, TimeUnit.SECONDS));
        }
    }

    /** Held for its turn, out at a node that hangs, or come after SIGTERM: each has its answer 350 ms before the kill. */
    @Test void whatWaitsWhenNodesHangIsAnsweredInTime() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            ScriptedPeer.Connection late = clients.connect(harness.address);
            for (int i = 0; i < 12; i++) {
                client.send(ClientRaceTest.get("q" + i));
            }
            node.accept().until("hosts=1\r\n");              // it never answers; the others wait behind it
            CountDownLatch left = new CountDownLatch(1);
            harness.sigterm(left::countDown);
            harness.runFor(1_000);
            late.send(ClientRaceTest.get("late"));
            harness.runFor(2_360);
            for (int i = 0; i < 12; i++) {
                assertTrue(client.until("\r\n").startsWith("-"), "answer " + i);
            }
            assertTrue(late.until("\r\n").startsWith("-"));
            assertTrue(client.hasEnded() && late.hasEnded());
            harness.runFor(250);
            assertTrue(left.await(10, TimeUnit.SECONDS));
            assertEquals(0, harness.openRequests());
        }
    }
}
