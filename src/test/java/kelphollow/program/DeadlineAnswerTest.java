package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Every accepted request gets its final answer by its deadline, whatever state it is in when the deadline expires. Guards
 * against a request that is never answered: it counts as lost half a second after its deadline.
 */
@Timeout(30)
class DeadlineAnswerTest {
    private static final String ANSWER = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";

    /** An OBJ.GET command of class {@code kind} with a deadline of {@code wait} milliseconds. */
    private static String get(String id, String kind, int wait, int shard) {
        String values = "c=" + kind + ",t=padrao,d=" + wait + ",volume=v" + id + ",units=1,shard=" + shard + ",hosts=1";
        values += kind.equals("keyed") ? ",k=1" : "";
        return "*4\r\n$7\r\nOBJ.GET\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + values.length()
            + "\r\n" + values + "\r\n";
    }

    /** The clock does not advance any more, so an answer that is not on its way by now would miss the deadline. */
    private static void assertAnswered(ScriptedPeer.Connection client, String state) throws Exception {
        assertTrue(client.until("\r\n").startsWith("-"), state);
    }

    @Test void queuedSentAndPartlyAnsweredRequestsAreAnsweredByTheirDeadline() throws Exception {
        Map<String, Integer> deadlines = Map.of("dump-read", 1_200, "dump-write", 3_000, "dump-export", 5_000,
            "keyed", 3_000);
        for (Map.Entry<String, Integer> kind : deadlines.entrySet()) {
            for (int answered = 0; answered < ANSWER.length(); answered += 5) {
                try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
                     ServerHarness harness = ServerHarness.resp(null, node.address())) {
                    String state = kind.getKey() + ", " + answered + " bytes of the answer";
                    ScriptedPeer.Connection sent = clients.connect(harness.address);
                    ScriptedPeer.Connection held = clients.connect(harness.address);
                    sent.send(get("sent", kind.getKey(), kind.getValue(), 0));
                    ScriptedPeer.Connection attempt = node.accept();
                    attempt.until("hosts=1");
                    attempt.send(ANSWER.substring(0, answered));
                    for (int i = 0; i < 6; i++) {      // queued behind it, or for a shard without a node
                        held.send(get("h" + i, kind.getKey(), kind.getValue(), i % 2 * 7));
                    }
                    ServerHarness.runLoopOnce(harness.loop);
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.runFor(kind.getValue());
                    assertAnswered(sent, "sent, " + state);
                    for (int i = 0; i < 6; i++) {
                        assertAnswered(held, "held, " + state);
                    }
                    assertEquals(0, harness.openRequests(), state);
                }
            }
        }
    }

    @Test void requestsWithVeryShortDeadlinesAreAnsweredInTime() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            for (String kind : List.of("dump-read", "dump-write", "dump-export", "keyed")) {
                for (int wait : new int[] {0, 1, 2, 10, 40}) {
                    ScriptedPeer.Connection client = clients.connect(harness.address);
                    client.send(get("q", kind, wait, 0));
                    ServerHarness.runLoopOnce(harness.loop);
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.runFor(wait);
                    assertAnswered(client, kind + ", " + wait + " ms");
                    assertEquals(0, harness.openRequests());
                    client.socket.close();
                }
            }
        }
    }

    /** The node's accept queue is full: connection attempts neither succeed nor are refused. */
    @Test void requestsWhoseNodeIsBeingConnectedToAreAnsweredByTheirDeadline() throws Exception {
        List<SocketChannel> queue = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
             ScriptedPeer clients = new ScriptedPeer()) {
            InetSocketAddress at = new InetSocketAddress(full.getInetAddress(), full.getLocalPort());
            for (int i = 0; i < 4; i++) {
                SocketChannel one = SocketChannel.open();
                queue.add(one);
                one.configureBlocking(false);
                one.connect(at);
            }
            for (int wait : new int[] {900, 1_200}) {
                try (ServerHarness harness = ServerHarness.resp(null, at)) {
                    ScriptedPeer.Connection client = clients.connect(harness.address);
                    for (int i = 0; i < 4; i++) {
                        client.send(get("q" + i, "dump-read", wait, 0));
                    }
                    ServerHarness.runLoopOnce(harness.loop);
                    ServerHarness.runLoopOnce(harness.loop);
                    harness.runFor(wait);
                    for (int i = 0; i < 4; i++) {
                        assertAnswered(client, "connecting, " + wait + " ms");
                    }
                    assertEquals(0, harness.openRequests());
                }
            }
        } finally {
            for (SocketChannel one : queue) {
                one.close();
            }
        }
    }

    /** An answer waits for the one of the preceding request, at most until that request's deadline. */
    @Test void anAnswerBehindAnUnansweredRequestIsSentWithThatRequestsAnswer() throws Exception {
        try (ScriptedPeer silent = new ScriptedPeer(); ScriptedPeer node = new ScriptedPeer();
             ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, silent.address(), node.address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send(get("first", "dump-write", 3_000, 0) + get("second", "dump-read", 1_200, 1));
            silent.accept().until("hosts=1\r\n");
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until("hosts=1\r\n");
            attempt.send(ANSWER);
            ServerHarness.runLoopOnce(harness.loop);
            harness.runFor(2_900);
            assertEquals(0, client.socket.getInputStream().available(), "answers are sent in request order");
            harness.runFor(100);
            assertAnswered(client, "first");
            assertEquals("$2\r\nok\r\n", client.receive(8));
        }
    }

    @Test void anObjectRequestIsAnsweredByItsDeadlineHoweverMuchOfTheResponseHeadHasArrived() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r";
        for (int answered = 0; answered <= head.length(); answered += 4) {
            try (ScriptedPeer node = new ScriptedPeer(); ServerHarness harness = DisconnectAfterRequestTest.objects(node);
                 HttpTestClient client = new HttpTestClient(harness.address)) {
                client.send("GET /symbols/a", "", null);
                ScriptedPeer.Connection attempt = node.accept();
                attempt.until("\r\n\r\n");
                attempt.send(head.substring(0, answered));
                ServerHarness.runLoopOnce(harness.loop);
                harness.runFor(1_200);
                assertEquals(504, client.readResponse().status(), answered + " bytes of the head");
                assertEquals(0, harness.openRequests());
            }
        }
    }
}
