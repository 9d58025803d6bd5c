package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that arrive in two pieces, split at every byte, with a pause between them that the protocol allows. Guards
 * against a piece that is lost, processed twice or treated as an idle client, and against half a request kept forever.
 */
@Timeout(60)
class SlowWriterTest {
    /** The longest pause that a client may make within a head. */
    private static final int LONGEST_PAUSE_MS = 2_000;
    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final String PONG = "+PONG\r\n";
    private static final String ANSWER = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";

    /** Sends a piece and waits until the program has read it. */
    private static void send(ServerHarness harness, ScriptedPeer.Connection client, String piece) throws Exception {
        client.send(piece);
        ServerHarness.runLoopOnce(harness.loop);
    }

    @Test void aCommandSplitAtAnyByteWithAPauseBetweenIsServed() throws Exception {
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
                assertTrue(attempt.until("hosts=1\r\n").contains("\r\n" + id + "\r\n"), "split at " + cut);
                attempt.send(ANSWER);
                assertEquals("$2\r\nok\r\n", client.receive(8), "split at " + cut);
                harness.runFor(30);            // after this time the node's connection is reusable
            }
            assertEquals(PONG, client.send(PING).receive(7));
        }
    }

    /** Idle time before a command does not count towards the command's timeout, wherever the first piece ends. */
    @Test void anIdleClientGetsTheFullTimeForItsNextCommand() throws Exception {
        try (ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, ClientRaceTest.UNREACHABLE)) {
            for (int cut = 1; cut < PING.length(); cut++) {
                ScriptedPeer.Connection client = clients.connect(harness.address);
                assertEquals(PONG, client.send(PING).receive(7));
                harness.ticker.advance(9_500);
                send(harness, client, PING.substring(0, cut));
                harness.ticker.advance(LONGEST_PAUSE_MS);
                send(harness, client, PING.substring(cut));
                assertEquals(PONG, client.receive(7), "split at " + cut);
                client.socket.close();
            }
        }
    }

    /** No request was accepted: the connection closes without a reset, and bytes sent later are not forwarded. */
    @Test void aCommandThatPausesTooLongIsClosedWithoutAResetAndNotForwarded() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            String command = ClientRaceTest.get("half");
            for (int cut = 1; cut < command.length(); cut += 12) {
                ScriptedPeer.Connection client = clients.connect(harness.address);
                send(harness, client, command.substring(0, cut));
                harness.runFor(2_400);
                client.send(command.substring(cut));
                assertEquals("", client.until("\n"), "split at " + cut);
                client.socket.close();
            }
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(ClientRaceTest.get("whole"));
            assertTrue(node.accept().until("hosts=1\r\n").contains("\r\nwhole\r\n"),
                "the first command that reaches the node");
        }
    }

    /** Single bytes count as activity, but the total time of a command is limited. */
    @Test void aCommandSentByteByByteEndsAfterTenSeconds() throws Exception {
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

    @Test void anObjectRequestSplitAtAnyByteOfItsHeadOrBodyIsServed() throws Exception {
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
                    assertEquals(200, answer.status(), "split at " + cut + " of " + request);
                    assertEquals(request == get ? "body" : "", answer.text(), "split at " + cut + " of " + request);
                }
            }
            assertEquals(put.length() - 1, server.objectWrites.get("/symbols/a"), "each object was written once");
        }
    }

    @Test void anIdleObjectClientGetsTheFullTimeForItsNextHead() throws Exception {
        String get = "GET /symbols/none HTTP/1.1\r\nHost: h\r\n\r\n";
        try (FakeObjectServer server = new FakeObjectServer(); ServerHarness harness = objects(server, 10_000)) {
            for (int idle = 8_500; idle < 10_000; idle += 300) {
                try (HttpTestClient client = new HttpTestClient(harness.address)) {
                    client.socket.setTcpNoDelay(true);
                    harness.ticker.advance(9_500);
                    assertEquals(404, client.call("GET /symbols/none", "", null).status());
                    harness.ticker.advance(idle);
                    client.socket.getOutputStream().write(get.substring(0, 9).getBytes());
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.ticker.advance(LONGEST_PAUSE_MS);
                    client.socket.getOutputStream().write(get.substring(9).getBytes());
                    assertEquals(404, client.readResponse().status(), "idle for " + idle);
                }
            }
        }
    }

    @Test void halfAHeadOfTheObjectApiIsClosedWithoutAResetAndNotForwarded() throws Exception {
        String get = "GET /symbols/none HTTP/1.1\r\nHost: h\r\n\r\n";
        try (FakeObjectServer server = new FakeObjectServer(); ServerHarness harness = objects(server, 2_500)) {
            for (int cut = 1; cut < get.length(); cut++) {
                try (HttpTestClient client = new HttpTestClient(harness.address)) {
                    client.socket.setTcpNoDelay(true);
                    client.socket.getOutputStream().write(get.substring(0, cut).getBytes());
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.runFor(2_600);
                    client.socket.getOutputStream().write(get.substring(cut).getBytes());
                    assertEquals(0, client.readResponse().status(), "split at " + cut);
                }
            }
            assertTrue(server.seen.isEmpty());
        }
    }
}
