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
 * A client that connects, asks and is gone before the program has read a byte, on both fronts: closed, reset or with only
 * its sending ended. Guards against sending on what a client asked that has gone. While the loop is held nothing is read;
 * then all that was done comes in one turn, the new connection first.
 */
@Timeout(20)
class EndBehindTest {
    private interface End {
        void of(ScriptedPeer.Line line) throws IOException;
    }

    private static final Map<String, End> ENDS = Map.of("closed", line -> line.socket.close(),
        "reset", ScriptedPeer.Line::reset, "half-closed", ScriptedPeer.Line::shutdown);
    private static final String HEAD_END = "\r\n\r\n";

    static ServerHarness objects(ScriptedPeer server) throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.part(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        return ServerHarness.objects(Map.of("objects", objects), server.address());
    }

    private static String request(String method, String key, String body) {
        return method + " /symbols/" + key + " HTTP/1.1\r\nHost: h\r\n"
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    /** {@code known}: the connection was accepted before the loop was held. */
    private static void leave(ServerHarness bench, ScriptedPeer clients, String asked, End end, boolean known)
        throws Exception {
        ScriptedPeer.Line client = known ? clients.connect(bench.address) : null;
        ServerHarness.turn(bench.loop);
        CountDownLatch go = ClientCrossingTest.hold(bench);
        client = known ? client : clients.connect(bench.address);
        end.of(client.send(asked));
        go.countDown();
        for (int turns = 0; turns < 3; turns++) {      // accepts, reads, begins
            ServerHarness.turn(bench.loop);
        }
    }

    @Test void aCommandOfAClientThatHasGoneIsNotSentOn() throws Exception {
        for (boolean known : List.of(true, false)) {
            for (Map.Entry<String, End> end : ENDS.entrySet()) {
                try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                     ServerHarness bench = ServerHarness.resp(null, node.address())) {
                    leave(bench, clients, ClientCrossingTest.get("left"), end.getValue(), known);
                    clients.connect(bench.address).send(ClientCrossingTest.get("stays"));
                    assertTrue(node.accept().until("hosts=1\r\n").contains("\r\nstays\r\n"), end.getKey() + ", " + known);
                    assertEquals(1, bench.openRequests());
                }
            }
        }
    }

    @Test void anObjectRequestOfAClientThatHasGoneIsNotSentOn() throws Exception {
        List<String> requests = List.of(request("GET", "left", ""), request("PUT", "left", "body"), request("DELETE", "left",
            ""));
        for (String asked : requests) {
            for (boolean known : List.of(true, false)) {
                for (Map.Entry<String, End> end : ENDS.entrySet()) {
                    try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                         ServerHarness bench = objects(node)) {
                        leave(bench, clients, asked, end.getValue(), known);
                        clients.connect(bench.address).send(request("GET", "stays", ""));
                        assertTrue(node.accept().until(HEAD_END).startsWith("GET /symbols/stays "),
                            end.getKey() + ", " + known + ": " + asked);
                        assertEquals(1, bench.openRequests());
                    }
                }
            }
        }
    }

    /** A request that was sent ahead must not hide that its client has gone. */
    @Test void aClientThatSentItsNextObjectRequestAheadIsSeenToGo() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness bench = objects(node)) {
            ScriptedPeer.Line client = clients.connect(bench.address);
            client.send(request("GET", "first", ""));
            ScriptedPeer.Line attempt = node.accept();
            attempt.until(HEAD_END);
            client.send(request("GET", "ahead", ""));
            ServerHarness.turn(bench.loop);
            ServerHarness.turn(bench.loop);
            client.socket.close();
            assertTrue(attempt.hasEnded(), "the clock stands: only the client's end can have ended it");
            assertEquals(0, bench.openRequests());
        }
    }

    @Test void objectRequestsSentAheadAreServedInTheirOrder() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness bench = objects(node)) {
            ScriptedPeer.Line client = clients.connect(bench.address);
            client.send(request("GET", "a", "") + request("PUT", "b", "body") + request("GET", "c", ""));
            for (String expected : List.of("GET /symbols/a ", "PUT /symbols/b ", "GET /symbols/c ")) {
                ScriptedPeer.Line attempt = node.accept();   // the clock stands: the one before still rests
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

    /** A request that crosses the close of its resting connection: a clean end, and the node hears nothing of it. */
    @Test void anObjectRequestThatCrossesTheCloseOfItsRestingConnectionIsNotSentOn() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness bench = objects(node)) {
            ScriptedPeer.Line client = clients.connect(bench.address);
            ServerHarness.turn(bench.loop);
            CountDownLatch go = ClientCrossingTest.hold(bench);
            bench.loop.execute(() -> bench.ticker.advance(10_200));   // comes before the reading: the connection has rested
            client.send(request("GET", "late", ""));
            go.countDown();
            assertEquals("", client.until("\n"), "a clean end, by which its client knows that it was not taken");
            clients.connect(bench.address).send(request("GET", "again", ""));
            assertTrue(node.accept().until(HEAD_END).startsWith("GET /symbols/again "));
        }
    }
}
