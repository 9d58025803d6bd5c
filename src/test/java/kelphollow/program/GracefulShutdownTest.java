package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** After SIGTERM the platform's clients, which have no other scheduler, are served until shortly before SIGKILL. */
@Timeout(20)
class GracefulShutdownTest {
    private static final int UPLOAD_BYTES = 512 * 1024;

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
            // The client does not close its side; the program stops waiting for it.
            harness.ticker.advance(250);
            assertTrue(left.await(10, TimeUnit.SECONDS));
        }
    }

    /** Guards against connections that SIGKILL finds open, because new settings brought it forward. */
    @Test void theScheduleFollowsTheSettingsInForce() throws Exception {
        for (int settledMs : new int[] {0, 6_000}) {
            try (ServerHarness harness = ServerHarness.resp(null, new InetSocketAddress("127.0.0.1", 1));
                 Socket client = new Socket(harness.address.getAddress(), harness.address.getPort())) {
                client.setSoTimeout(10_000);
                assertEquals("+PONG\r\n", ping(client));
                harness.reloadWithoutLongerDeadlines(1_200);
                harness.ticker.advance(settledMs);

                harness.sigterm(() -> {});
                // SIGKILL comes 1.9 s after SIGTERM at the soonest; idle connections close 0.5 s before it.
                harness.ticker.advance(1_350);
                assertEquals("+PONG\r\n", ping(client));
                harness.ticker.advance(60);

                assertEquals(-1, client.getInputStream().read(), settledMs + " ms after the new settings");
            }
        }
    }

    /** Guards against connections that SIGKILL finds open, because a second SIGHUP drops the schedule in force. */
    @Test void theScheduleOfTheSettingsInForceSurvivesTwoReloadsInARow() throws Exception {
        try (ServerHarness harness = ServerHarness.resp(null, new InetSocketAddress("127.0.0.1", 1));
             Socket client = new Socket(harness.address.getAddress(), harness.address.getPort())) {
            client.setSoTimeout(10_000);
            assertEquals("+PONG\r\n", ping(client));
            harness.reloadWithoutLongerDeadlines(1_200);
            harness.ticker.advance(6_000);
            harness.reloadWithoutLongerDeadlines(Double.POSITIVE_INFINITY);
            harness.ticker.advance(600);
            harness.reloadWithoutLongerDeadlines(Double.POSITIVE_INFINITY);
            harness.ticker.advance(300);

            harness.sigterm(() -> {});
            harness.ticker.advance(1_350);
            assertEquals("+PONG\r\n", ping(client));
            harness.ticker.advance(60);

            assertEquals(-1, client.getInputStream().read(), "the first settings are in force until 1.2 s after a reload");
        }
    }

    /** Shuts down and lets this time pass; returns whether all connections have closed, or false if the wait goes on. */
    private static boolean drain(ServerHarness harness, int millis) throws Exception {
        CompletableFuture<Boolean> drained = harness.scheduler().drain();
        harness.runFor(millis);
        return drained.getNow(false);
    }

    /** Guards against a process of an upgrade that ends before its answers, because new settings lengthened a deadline. */
    @Test void theWaitForOpenRequestsFollowsTheSettingsInForce() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.respOnSharedSocket(1_200, node.address())) {
            harness.reloadWithoutLongerDeadlines(Double.POSITIVE_INFINITY);
            harness.ticker.advance(2_500);
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(ClientRaceTest.get("q"));
            node.accept().until("hosts=1\r\n");              // never answered

            // SIGKILL comes 3.7 s after SIGTERM at the soonest.
            boolean drained = drain(harness, 3_760);

            assertTrue(client.until("\r\n").startsWith("-"));
            assertTrue(drained);
        }
    }

    /** Guards against a gateway that ends before an upload's answer, whose deadline allows for the size of its body. */
    @Test void aGatewayWaitsForAnUploadUntilItsDeadline() throws Exception {
        Map<String, Object> settings = ServerHarness.section(ServerHarness.example(), "settings");
        List<?> classes = (List<?>) settings.get("request_classes");
        settings.put("request_classes", classes.stream().map(row -> withDeadline((Map<?, ?>) row, 300.0)).toList());
        Map<String, Object> objects = ServerHarness.section(ServerHarness.example(), "objects");
        objects.put("shards", 1.0);
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.objects(Map.of("settings", settings, "objects", objects), node
                 .address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            String body = "x".repeat(UPLOAD_BYTES);          // adds 2 s to the deadline
            client.send("PUT /symbols/a HTTP/1.1\r\nHost: h\r\nContent-Length: " + UPLOAD_BYTES + "\r\n\r\n" + body);
            node.accept().until("\r\n\r\n");                // never answered

            CompletableFuture<Boolean> drained = harness.scheduler().drain();
            harness.runFor(2_000);
            assertFalse(drained.isDone(), "the upload has 300 ms left");
            harness.runFor(300);

            assertTrue(client.until("\r\n").startsWith("HTTP/1.1 50"));
            client.socket.close();
            harness.runFor(100);
            assertTrue(drained.getNow(false));
        }
    }

    private static Map<Object, Object> withDeadline(Map<?, ?> requestClass, double deadline) {
        Map<Object, Object> changed = new HashMap<>(requestClass);
        changed.put("aim", deadline / 2);
        changed.put("deadline", deadline);
        return changed;
    }

    /** Requests queued, sent to a hanging node or received after SIGTERM are answered 350 ms before SIGKILL. */
    @Test void requestsThatWaitForHangingNodesAreAnsweredBeforeTheKill() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            ScriptedPeer.Connection late = clients.connect(harness.address);
            for (int i = 0; i < 12; i++) {
                client.send(ClientRaceTest.get("q" + i));
            }
            node.accept().until("hosts=1\r\n");              // never answered; the other requests queue behind it
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
