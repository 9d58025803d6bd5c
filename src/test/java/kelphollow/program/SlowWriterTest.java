package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that come in two pieces, cut at every byte, with a rest between them that the protocol allows. Guards against a
 * piece that is lost, taken twice or taken for a client that says nothing; and against half a request that is kept for good.
 */
@Timeout(60)
class SlowWriterTest {
    /** A client may spend so long on a head, in milliseconds. */
    private static final int LONGEST_PAUSE_MS = 2_000;
    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final String PONG = "+PONG\r\n";
    private static final String ANSWER = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";

    /** Sends a piece and sees to it that it has been read. */
    private static void send(ServerHarness harness, ScriptedPeer.Connection client, String piece) throws Exception {
        client.send(piece);
        ServerHarness.runLoopOnce(harness.loop);
    }

    @Test void aCommandCutAtAnyByteIsServedThoughItsWriterPausesBetween() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            int length = ClientRaceTest.get("q100").length();
            ScriptedPeer.Connection attempt = null;
            for (int cut = 1; cut < length; cut++) {
                String id = "q" + (100 + cut);
                String command = ClientRaceTest.get(id);
                send(harness, client, command.substring(0, cut));
                harness.ticker.advance(LONGEST_PAUSE_MS);
                send(harness, client, command.substring(cut));
                attempt = attempt == null ? node.accept() : attempt;
                assertTrue(attempt.until("hosts=1\r\n").contains("\r\n" + id + "\r\n"), "cut at " + cut);
                attempt.send(ANSWER);
                assertEquals("$2\r\nok\r\n", client.receive(8), "cut at " + cut);
                harness.runFor(30);            // after these an answered connection to a node is used again
            }
            assertEquals(PONG, client.send(PING).receive(7));
        }
    }

    /** A rest is none of the command's time, wherever the first piece ends. */
    @Test void aClientThatHasBeenIdleIsGivenAsLongForItsNextCommand() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, ClientRaceTest.UNREACHABLE)) {
            for (int cut = 1; cut < PING.length(); cut++) {
                ScriptedPeer.Connection client = clients.connect(harness.address);
                assertEquals(PONG, client.send(PING).receive(7));
                harness.ticker.advance(9_500);
                send(harness, client, PING.substring(0, cut));
                harness.ticker.advance(LONGEST_PAUSE_MS);
                send(harness, client, PING.substring(cut));
                assertEquals(PONG, client.receive(7), "cut at " + cut);
                client.socket.close();
            }
        }
    }

    /** Nothing was taken: the client sees a clean end, and what it still sends is neither sent on nor reset. */
    @Test void halfACommandThatStandsStillForLongerEndsCleanlyAndIsNotForwarded() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            String command = ClientRaceTest.get("half");
            for (int cut = 1; cut < command.length(); cut += 12) {
                ScriptedPeer.Connection client = clients.connect(harness.address);
                send(harness, client, command.substring(0, cut));
                harness.runFor(2_400);
                client.send(command.substring(cut));
                assertEquals("", client.until("\n"), "cut at " + cut);
                client.socket.close();
            }
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(ClientRaceTest.get("whole"));
            assertTrue(node.accept().until("hosts=1\r\n").contains("\r\nwhole\r\n"), "the first that came to the node");
        }
    }

    /** Bytes one by one show life, but no command may take for good. */
    @Test void aCommandThatDripsEndsAfterTenSeconds() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, ClientRaceTest.UNREACHABLE)) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            for (int i = 0; i < 6; i++) {
                send(harness, client, ClientRaceTest.get("drip").substring(i, i + 1));
                harness.ticker.advance(LONGEST_PAUSE_MS);
            }
            assertEquals("", client.until("\n"));
        }
    }

    // ---------------------------------------------------------------- the object API

    private static ServerHarness objects(FakeObjectServer server, double stall) throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.section(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        return ServerHarness.objects(Map.of("objects", objects, "stall_ms", stall), server.address());
    }

    @Test void anObjectRequestCutAtAnyByteOfItsHeadOrBodyIsServed() throws Exception {
        String put = "PUT /symbols/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
        String get = "GET /symbols/a HTTP/1.1\r\nHost: h\r\n\r\n";
        try (FakeObjectServer server = new FakeObjectServer(); ServerHarness harness = objects(server, 2_500);
             HttpTestClient client = new HttpTestClient(harness.address)) {
            client.socket.setTcpNoDelay(true);
            for (String request : new String[] {put, get}) {
                for (int cut = 1; cut < request.length(); cut++) {
                    client.socket.getOutputStream().write(request.substring(0, cut).getBytes());
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.ticker.advance(LONGEST_PAUSE_MS);
                    client.socket.getOutputStream().write(request.substring(cut).getBytes());
                    HttpTestClient.Response answer = client.readResponse();
                    assertEquals(200, answer.status(), "cut at " + cut + " of " + request);
                    assertEquals(request == get ? "body" : "", answer.text(), "cut at " + cut + " of " + request);
                }
            }
            assertEquals(put.length() - 1, server.objectWrites.get("/symbols/a"), "each was written once");
        }
    }

    @Test void anObjectClientThatHasBeenIdleIsGivenAsLongForItsNextHead() throws Exception {
        String get = "GET /symbols/none HTTP/1.1\r\nHost: h\r\n\r\n";
        try (FakeObjectServer server = new FakeObjectServer(); ServerHarness harness = objects(server, 10_000)) {
            for (int rested = 8_500; rested < 10_000; rested += 300) {
                try (HttpTestClient client = new HttpTestClient(harness.address)) {
                    client.socket.setTcpNoDelay(true);
                    harness.ticker.advance(9_500);
                    assertEquals(404, client.call("GET /symbols/none", "", null).status());
                    harness.ticker.advance(rested);
                    client.socket.getOutputStream().write(get.substring(0, 9).getBytes());
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.ticker.advance(LONGEST_PAUSE_MS);
                    client.socket.getOutputStream().write(get.substring(9).getBytes());
                    assertEquals(404, client.readResponse().status(), "rested for " + rested);
                }
            }
        }
    }

    @Test void halfAHeadOfTheObjectApiEndsCleanlyAndIsNotForwarded() throws Exception {
        String get = "GET /symbols/none HTTP/1.1\r\nHost: h\r\n\r\n";
        try (FakeObjectServer server = new FakeObjectServer(); ServerHarness harness = objects(server, 2_500)) {
            for (int cut = 1; cut < get.length(); cut++) {
                try (HttpTestClient client = new HttpTestClient(harness.address)) {
                    client.socket.setTcpNoDelay(true);
                    client.socket.getOutputStream().write(get.substring(0, cut).getBytes());
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.runFor(2_600);
                    client.socket.getOutputStream().write(get.substring(cut).getBytes());
                    assertEquals(0, client.readResponse().status(), "cut at " + cut);
                }
            }
            assertTrue(server.seen.isEmpty());
        }
    }
}
