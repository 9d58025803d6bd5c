package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client of the object API that goes between an attempt that was turned away and the next one's first byte. Guards
 * against work for a client that has gone, and against a write that nobody waits for.
 */
@Timeout(20)
class DisconnectBetweenAttemptsTest {
    private static final String HEAD_END = "\r\n\r\n";
    private static final String REJECTED = "HTTP/1.1 503 Slow Down\r\nContent-Length: 0\r\n\r\n";
    private static final List<String> REQUESTS = List.of("GET /symbols/a HTTP/1.1\r\nHost: h\r\n\r\n",
        "PUT /symbols/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");

    /** The node has turned the request away, and the program has read that. */
    private static ScriptedPeer.Connection rejectFirstAttempt(ServerHarness harness, ScriptedPeer node, ScriptedPeer clients,
        String request)
        throws Exception {
        ScriptedPeer.Connection client = clients.connect(harness.address);
        client.send(request);
        ScriptedPeer.Connection attempt = node.accept();
        attempt.until(HEAD_END);
        attempt.send(REJECTED);
        ServerHarness.runLoopOnce(harness.loop);
        assertEquals(1, harness.openRequests(), "it is tried again after a pause");
        return client;
    }

    /** What the others show is worth something only if a client that stays sees a second attempt. */
    @Test void aClientThatStaysSeesASecondAttempt() throws Exception {
        for (String request : REQUESTS) {
            try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = DisconnectAfterRequestTest.objects(node)) {
                rejectFirstAttempt(harness, node, clients, request);
                harness.ticker.advance(500);
                assertTrue(node.accept().until(HEAD_END).startsWith(request.substring(0, 20)));
            }
        }
    }

    @Test void aClientThatGoesDuringThePauseEndsTheRequest() throws Exception {
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

    /** The pause ends in the turn that would read the client's end: the next attempt is dialled and given up. */
    @Test void aClientThatGoesAsThePauseEndsIsSentNothingFor() throws Exception {
        for (String request : REQUESTS) {
            try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = DisconnectAfterRequestTest.objects(node)) {
                ScriptedPeer.Connection client = rejectFirstAttempt(harness, node, clients, request);
                CountDownLatch go = ClientRaceTest.blockLoop(harness);
                harness.loop.execute(() -> harness.ticker.advance(500));     // comes before the reading
                client.socket.close();
                go.countDown();
                ServerHarness.runLoopOnce(harness.loop);
                assertEquals(0, harness.openRequests(), request);
                assertEquals("", node.accept().until(HEAD_END), request);
                harness.runFor(3_000);
                assertNull(node.acceptIfAny(), request);
            }
        }
    }
}
