package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client of the object API disconnects after a node rejected its first attempt and before the first byte of the next
 * attempt is sent. Guards against sending requests, writes above all, on behalf of a client that has disconnected.
 */
@Timeout(20)
class DisconnectBetweenAttemptsTest {
    private static final String HEAD_END = "\r\n\r\n";
    private static final String REJECTED = "HTTP/1.1 503 Slow Down\r\nContent-Length: 0\r\n\r\n";
    private static final List<String> REQUESTS = List.of("GET /symbols/a HTTP/1.1\r\nHost: h\r\n\r\n",
        "PUT /symbols/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");

    /** Sends a request whose first attempt the node rejects with 503; returns once the program has read the rejection. */
    private static ScriptedPeer.Connection rejectFirstAttempt(ServerHarness harness, ScriptedPeer node, ScriptedPeer clients,
        String request)
        throws Exception {
        ScriptedPeer.Connection client = clients.connect(harness.address);
        client.send(request);
        ScriptedPeer.Connection attempt = node.accept();
        attempt.until(HEAD_END);
        attempt.send(REJECTED);
        ServerHarness.runLoopOnce(harness.loop);
        assertEquals(1, harness.openRequests(), "the request stays open during the backoff");
        return client;
    }

    /** Control for the other tests: as long as the client stays connected, a second attempt is made. */
    @Test void aConnectedClientsRequestIsRetried() throws Exception {
        for (String request : REQUESTS) {
            try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = DisconnectAfterRequestTest.objects(node)) {
                rejectFirstAttempt(harness, node, clients, request);
                harness.ticker.advance(500);
                assertTrue(node.accept().until(HEAD_END).startsWith(request.substring(0, 20)));
            }
        }
    }

    @Test void aDisconnectDuringTheBackoffEndsTheRequest() throws Exception {
        for (String request : REQUESTS) {
            try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = DisconnectAfterRequestTest.objects(node)) {
                rejectFirstAttempt(harness, node, clients, request).socket.close();
                ServerHarness.runLoopOnce(harness.loop);
                assertEquals(0, harness.openRequests(), request);
                harness.runFor(3_000);
                assertNull(node.acceptIfAny(), request);
            }
        }
    }

    /** The backoff ends in the loop iteration that would read the disconnect: no connection is made for the next attempt. */
    @Test void aDisconnectAsTheBackoffEndsLeavesTheNextAttemptUnsent() throws Exception {
        for (String request : REQUESTS) {
            try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = DisconnectAfterRequestTest.objects(node)) {
                ScriptedPeer.Connection client = rejectFirstAttempt(harness, node, clients, request);
                CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
                harness.loop.execute(() -> harness.ticker.advance(500));     // runs before the loop reads
                client.socket.close();
                unblock.countDown();
                ServerHarness.runLoopOnce(harness.loop);
                assertEquals(0, harness.openRequests(), request);
                harness.runFor(3_000);
                assertNull(node.acceptIfAny(), request);
            }
        }
    }
}
