package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Client requests and disconnects that race with what the program does in the same event loop iteration. */
@Timeout(20)
class ClientRaceTest {
    static final InetSocketAddress UNREACHABLE = new InetSocketAddress("127.0.0.1", 1);
    private static final String PING = "*1\r\n$4\r\nPING\r\n";

    static String get(String id) {
        String values = "c=dump-export,t=padrao,d=5000,volume=v,units=1,shard=0,hosts=1";
        return "*4\r\n$7\r\nOBJ.GET\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + values.length() + "\r\n"
            + values + "\r\n";
    }

    /**
     * Blocks the event loop until the returned latch is released. Nothing is read meanwhile, so all that happened in
     * between arrives in one loop iteration.
     */
    static CountDownLatch blockLoop(ServerHarness harness) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        harness.loop.execute(() -> {
            held.countDown();
            try {
                unblock.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return unblock;
    }

    private static ScriptedPeer.Connection connectAndPing(ScriptedPeer clients, ServerHarness harness) throws Exception {
        ScriptedPeer.Connection client = clients.connect(harness.address);
        assertEquals("+PONG\r\n", client.send(PING).receive(7));
        return client;
    }

    @Test void aDisconnectBehindMoreRequestsThanMayBeOpenIsDetected() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = connectAndPing(clients, harness);
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 400; i++) {
                all.append(get("q" + i));
            }
            client.send(all.toString());
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until("hosts=1\r\n");
            client.socket.close();
            assertTrue(attempt.hasEnded(),
                "the clock is stopped, so only the client's disconnect can have closed the attempt");
        }
    }

    @Test void requestsBeyondTheOpenLimitAreRejectedInOrder() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer(); ServerHarness harness = ServerHarness.resp(null, UNREACHABLE)) {
            ScriptedPeer.Connection client = connectAndPing(clients, harness);
            CountDownLatch unblock = blockLoop(harness);
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                all.append(get("q" + i));
            }
            client.send(all + PING);
            unblock.countDown();
            for (int i = 0; i < 300; i++) {
                for (int passed = 0; client.socket.getInputStream().available() == 0; passed += 100) {
                    assertTrue(passed < 20_000, "answer " + i);
                    harness.runFor(100);
                }
                String answer = client.until("\r\n");
                assertTrue(answer.startsWith("-BUSY"), "answer " + i + ": " + answer);
            }
            assertEquals("+PONG\r\n", client.receive(7));
        }
    }

    @Test void aCommandFollowedByADisconnectIsNotForwarded() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = connectAndPing(clients, harness);
            ScriptedPeer.Connection other = connectAndPing(clients, harness);
            CountDownLatch unblock = blockLoop(harness);
            client.send(get("left")).socket.close();
            unblock.countDown();
            ServerHarness.runLoopOnce(harness.loop);
            other.send(get("stays"));
            assertEquals(get("stays").substring(0, 48), node.accept().until("hosts=1\r\n").substring(0, 48));
        }
    }

    /** The request has arrived before the close, so it counts as taken, although the late loop has not read it. */
    @Test void aRequestThatRacesWithTheIdleCloseIsForwardedAndAnswered() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = connectAndPing(clients, harness);
            CountDownLatch unblock = blockLoop(harness);
            // Runs before the loop reads, so the connection's idle timeout has expired by then.
            harness.loop.execute(() -> harness.ticker.advance(10_200));
            client.send(get("late"));
            unblock.countDown();
            ScriptedPeer.Connection attempt = node.accept();
            assertTrue(attempt.until("hosts=1\r\n").contains("\r\nlate\r\n"));
            attempt.send("*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
            assertEquals("$2\r\nok\r\n", client.receive(8));
        }
    }

    @Test void bytesAfterAMalformedCommandNeitherResetNorDelayItsError() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer(); ServerHarness harness = ServerHarness.resp(null, UNREACHABLE)) {
            ScriptedPeer.Connection client = connectAndPing(clients, harness);
            client.send(PING + "*1\r\n$99999999\r\n" + "x".repeat(300_000));
            assertEquals("+PONG\r\n-ERR Protocol error\r\n", client.until("error\r\n"));
            client.send("y".repeat(100_000));
            assertEquals("", client.until("\n"));
        }
    }

    /** Clients may use half of the descriptors; the other half stays reserved, however many connections clients open. */
    @Test void idleClientsBlockNeitherDiscoveryNorNodesNorNewClients() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ScriptedPeer discovery = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(discovery.address(), node.address())) {
            ScriptedPeer.Connection silent = discovery.accept();
            for (int i = 0; i < ServerHarness.SOCKETS; i++) {
                connectAndPing(clients, harness);                      // evicts the connection that has been idle longest
                harness.ticker.advance(60);
            }
            ScriptedPeer.Connection watch = null;
            for (int i = 0; watch == null; i++) {
                assertTrue(i < 60, "discovery is polled again although all client descriptors are in use");
                harness.ticker.advance(100);
                watch = discovery.acceptIfAny();
            }
            String list = "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"n0\",\"dial\":\"127.0.0.1:"
                + node.address().getPort() + "\",\"site\":\"a\",\"block\":0,\"health\":\"ready\",\"born_ms\":0}]}";
            watch.until("\r\n\r\n");
            watch.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            assertTrue(discovery.accept().until("\r\n\r\n").contains("index=9"));
            ScriptedPeer.Connection client = connectAndPing(clients, harness);
            client.send(get("q"));
            node.accept().until("hosts=1\r\n");
            silent.until("\r\n\r\n");
            assertTrue(silent.hasEnded(), "the call that timed out holds no descriptor");
        }
    }
}
