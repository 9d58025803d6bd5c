package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client of either front sends a request and disconnects (close, reset or half-close) before the program has read a byte.
 * Guards against forwarding a request whose client has already disconnected. The event loop is blocked meanwhile, so that
 * request and disconnect arrive in one loop iteration, after a new connection has been accepted.
 */
@Timeout(20)
class DisconnectAfterRequestTest {
    private interface Disconnect {
        void apply(ScriptedPeer.Connection connection) throws IOException;
    }

    private static final Map<String, Disconnect> DISCONNECTS = Map.of("closed", connection -> connection.socket.close(),
        "reset", ScriptedPeer.Connection::reset, "half-closed", ScriptedPeer.Connection::shutdown);
    private static final String HEAD_END = "\r\n\r\n";
    /** More than one read of a socket yields, less than one client may have read ahead. */
    private static final int LONG_BODY_BYTES = 300_000;

    static ServerHarness objects(ScriptedPeer server) throws Exception {
        return ServerHarness.objects(Map.of("objects", oneShard()), server.address());
    }

    private static Map<String, Object> oneShard() throws IOException {
        Map<String, Object> objects = new HashMap<>(ServerHarness.section(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        return objects;
    }

    private static void awaitOpenRequests(ServerHarness harness, int expected) throws Exception {
        for (int i = 0; i < 200 && harness.openRequests() != expected; i++) {
            Thread.sleep(5);
        }
        assertEquals(expected, harness.openRequests());
    }

    private static String request(String method, String key, String body) {
        return method + " /symbols/" + key + " HTTP/1.1\r\nHost: h\r\n"
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    /**
     * Sends a request and disconnects while the loop is blocked.
     *
     * @param accepted whether the connection is accepted before the loop is blocked
     */
    private static void sendAndDisconnect(ServerHarness harness, ScriptedPeer clients, String request, Disconnect disconnect,
        boolean accepted)
        throws Exception {
        ScriptedPeer.Connection client = accepted ? clients.connect(harness.address) : null;
        ServerHarness.runLoopOnce(harness.loop);
        CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
        client = accepted ? client : clients.connect(harness.address);
        disconnect.apply(client.send(request));
        unblock.countDown();
        for (int iterations = 0; iterations < 3; iterations++) {      // accepts, reads, starts the request
            ServerHarness.runLoopOnce(harness.loop);
        }
    }

    @Test void aCommandOfADisconnectedClientIsNotForwarded() throws Exception {
        for (boolean accepted : List.of(true, false)) {
            for (Map.Entry<String, Disconnect> end : DISCONNECTS.entrySet()) {
                try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                     ServerHarness harness = ServerHarness.resp(null, node.address())) {
                    sendAndDisconnect(harness, clients, ClientRaceTest.get("left"), end.getValue(), accepted);
                    clients.connect(harness.address).send(ClientRaceTest.get("stays"));
                    assertTrue(node.accept().until("hosts=1\r\n").contains("\r\nstays\r\n"), end.getKey() + ", " + accepted);
                    assertEquals(1, harness.openRequests());
                }
            }
        }
    }

    @Test void anObjectRequestOfADisconnectedClientIsNotForwarded() throws Exception {
        List<String> requests = List.of(request("GET", "left", ""), request("PUT", "left", "body"),
            request("DELETE", "left", ""));
        for (String request : requests) {
            for (boolean accepted : List.of(true, false)) {
                for (Map.Entry<String, Disconnect> end : DISCONNECTS.entrySet()) {
                    try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                         ServerHarness harness = objects(node)) {
                        sendAndDisconnect(harness, clients, request, end.getValue(), accepted);
                        clients.connect(harness.address).send(request("GET", "stays", ""));
                        assertTrue(node.accept().until(HEAD_END).startsWith("GET /symbols/stays "),
                            end.getKey() + ", " + accepted + ": " + request);
                        assertEquals(1, harness.openRequests());
                    }
                }
            }
        }
    }

    /** A pipelined request must not hide the disconnect of its client. */
    @Test void aDisconnectBehindAPipelinedObjectRequestIsDetected() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = objects(node)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(request("GET", "first", ""));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until(HEAD_END);
            client.send(request("GET", "ahead", ""));
            ServerHarness.runLoopOnce(harness.loop);
            ServerHarness.runLoopOnce(harness.loop);
            client.socket.close();
            assertTrue(attempt.hasEnded(),
                "the clock is stopped, so only the client's disconnect can have closed the attempt");
            assertEquals(0, harness.openRequests());
        }
    }

    /** Guards against an upload that is stored for a client that left while it waited, behind a body of several reads. */
    @Test void aDisconnectBehindALongBodyThatWaitsIsDetected() throws Exception {
        for (Map.Entry<String, Disconnect> end : DISCONNECTS.entrySet()) {
            try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = objects(node)) {
                harness.reload(Map.of("objects", oneShard()));          // no node: the upload waits
                ScriptedPeer.Connection client = clients.connect(harness.address);
                end.getValue().apply(client.send(request("PUT", "left", "x".repeat(LONG_BODY_BYTES))));
                awaitOpenRequests(harness, 0);
                harness.reload(Map.of("objects", oneShard()), node.address());
                clients.connect(harness.address).send(request("GET", "stays", ""));
                assertTrue(node.accept().until(HEAD_END).startsWith("GET /symbols/stays "), end.getKey());
            }
        }
    }

    /** An attempt whose node has not asked for the body ends with its client, however long the body is. */
    @Test void aDisconnectBehindALongBodyEndsAnAttemptThatAwaitsContinue() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = objects(node)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(request("PUT", "left", "x".repeat(LONG_BODY_BYTES)));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until(HEAD_END);
            client.socket.close();
            assertTrue(attempt.hasEnded());
        }
    }

    @Test void aDisconnectBehindALongPipelinedUploadIsDetected() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = objects(node)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(request("GET", "first", ""));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until(HEAD_END);
            client.send(request("PUT", "ahead", "x".repeat(LONG_BODY_BYTES)));
            client.socket.close();
            assertTrue(attempt.hasEnded());
        }
    }

    /** What was read ahead is forwarded unchanged once the node asks for it. */
    @Test void aLongBodyThatWasReadAheadIsForwardedWhole() throws Exception {
        String body = "0123456789".repeat(LONG_BODY_BYTES / 10);
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = objects(node)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(request("PUT", "a", body));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until(HEAD_END);
            harness.runFor(100);
            attempt.send("HTTP/1.1 100 Continue\r\n\r\n");
            assertEquals(body, attempt.receive(body.length()));
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertTrue(client.until(HEAD_END).startsWith("HTTP/1.1 200 OK\r\n"));
        }
    }

    @Test void pipelinedObjectRequestsAreServedInOrder() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = objects(node)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(request("GET", "a", "") + request("PUT", "b", "body") + request("GET", "c", ""));
            for (String expected : List.of("GET /symbols/a ", "PUT /symbols/b ", "GET /symbols/c ")) {
                // The clock is stopped, so the previous connection is not reusable yet and each request opens a new one.
                ScriptedPeer.Connection attempt = node.accept();
                assertTrue(attempt.until(HEAD_END).startsWith(expected), expected);
                if (expected.startsWith("PUT")) {
                    attempt.send("HTTP/1.1 100 Continue\r\n\r\n");
                    assertEquals("body", attempt.receive(4));
                }
                attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                assertTrue(client.until("\r\n\r\nok").startsWith("HTTP/1.1 200 OK\r\n"), expected);
            }
        }
    }

    /** The request has arrived before the close, so it counts as taken, although the late loop has not read it. */
    @Test void anObjectRequestThatRacesWithTheIdleCloseIsForwardedAndAnswered() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = objects(node)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            ServerHarness.runLoopOnce(harness.loop);
            CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
            // Runs before the loop reads, so the connection's idle timeout has expired by then.
            harness.loop.execute(() -> harness.ticker.advance(10_200));
            client.send(request("GET", "late", ""));
            unblock.countDown();
            ScriptedPeer.Connection attempt = node.accept();
            assertTrue(attempt.until(HEAD_END).startsWith("GET /symbols/late "));
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertTrue(client.until("\r\n\r\nok").startsWith("HTTP/1.1 200 OK\r\n"));
        }
    }
}
