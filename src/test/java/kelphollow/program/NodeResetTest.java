package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A node resets its connection at any byte of its answer. Guards against a second answer to the client and against
 * resending a write that the node may have executed.
 */
@Timeout(60)
class NodeResetTest {
    private static final String ANSWER = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";
    private static final String PING = "*1\r\n$4\r\nPING\r\n";

    private static String put(int shard) {
        String id = "w" + shard;
        String values = "c=dump-write,t=padrao,d=3000,volume=v" + shard + ",units=1,shard=" + shard + ",hosts=1";
        return "*5\r\n$7\r\nOBJ.PUT\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + values.length() + "\r\n"
            + values + "\r\n$1\r\nb\r\n";
    }

    private interface Exchange {
        void run(ScriptedPeer node, ScriptedPeer.Connection client, ServerHarness harness) throws Exception;
    }

    /** Runs an exchange with one node per shard, all at the same peer, so that no node's history affects the next write. */
    private static void withShards(int shards, Exchange exchange) throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer()) {
            InetSocketAddress[] nodes = new InetSocketAddress[shards];
            Arrays.fill(nodes, node.address());
            try (ServerHarness harness = ServerHarness.resp(null, nodes)) {
                exchange.run(node, clients.connect(harness.address), harness);
                assertEquals(0, harness.openRequests());
                assertNull(node.acceptIfAny(), "no attempt is resent");
            }
        }
    }

    @Test void aWriteIsAnsweredOnceAndNeverResentWhereverItsAnswerIsTruncated() throws Exception {
        withShards(ANSWER.length(), (node, client, harness) -> {
            for (int bytes = 0; bytes < ANSWER.length(); bytes++) {
                client.send(put(bytes));
                ScriptedPeer.Connection attempt = node.accept();
                attempt.until("\r\nb\r\n");
                attempt.send(ANSWER.substring(0, bytes)).reset();
                assertEquals("-ERR failed\r\n", client.until("\r\n"), bytes + " bytes of the answer");
                assertEquals("+PONG\r\n", client.send(PING).receive(7), "one answer");
            }
        });
    }

    @Test void anAnswerReadTogetherWithTheResetIsServed() throws Exception {
        withShards(1, (node, client, harness) -> {
            client.send(put(0));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until("\r\nb\r\n");
            harness.loop.submit(() -> {
                attempt.send(ANSWER).reset();      // both arrive before the loop reads
                return null;
            }).sync();
            assertEquals("$2\r\nok\r\n", client.receive(8));
            assertEquals("+PONG\r\n", client.send(PING).receive(7));
        });
    }

    /** The deadline expires in the loop iteration that would read the answer; the event handled second has no effect. */
    @Test void anAnswerInTheIterationInWhichTheDeadlineExpiresIsIgnored() throws Exception {
        withShards(1, (node, client, harness) -> {
            client.send(put(0));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until("\r\nb\r\n");
            harness.loop.submit(() -> {
                attempt.send(ANSWER);
                harness.ticker.advance(3_100);
                return null;
            }).sync();
            assertEquals("-ERR timed out\r\n", client.until("\r\n"));
            assertEquals("+PONG\r\n", client.send(PING).receive(7));
            assertTrue(attempt.hasEnded());
        });
    }

    @Test void anUnsolicitedSecondAnswerIsDiscarded() throws Exception {
        withShards(2, (node, client, harness) -> {
            client.send(put(0));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until("\r\nb\r\n");
            attempt.send(ANSWER + ANSWER);
            assertEquals("$2\r\nok\r\n", client.receive(8));
            assertTrue(attempt.hasEnded());
            client.send(put(1));
            ScriptedPeer.Connection next = node.accept();
            next.until("\r\nb\r\n");
            next.send("*3\r\n$2\r\nno\r\n$-1\r\n$-1\r\n");
            assertEquals("$2\r\nno\r\n", client.receive(8));
        });
    }
}
