package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A node's connection that is reset at any byte of its answer: one final answer each, and nothing sent again that may have
 * run.
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

    /** Each shard has a node of its own, all of them the one peer: what one did says nothing of the next. */
    private static void withShards(int shards, Exchange exchange) throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer()) {
            InetSocketAddress[] nodes = new InetSocketAddress[shards];
            Arrays.fill(nodes, node.address());
            try (ServerHarness harness = ServerHarness.resp(null, nodes)) {
                exchange.run(node, clients.connect(harness.address), harness);
                assertEquals(0, harness.openRequests());
                assertNull(node.acceptIfAny(), "nothing was sent again");
            }
        }
    }

    @Test void aWriteIsAnsweredOnceAndNeverSentAgainWhereverItsAnswerIsTruncated() throws Exception {
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

    @Test void anAnswerCompleteInTheReadThatBringsItsResetIsServed() throws Exception {
        withShards(1, (node, client, harness) -> {
            client.send(put(0));
            ScriptedPeer.Connection attempt = node.accept();
            attempt.until("\r\nb\r\n");
            harness.loop.submit(() -> {
                attempt.send(ANSWER).reset();      // both are there before the loop reads
                return null;
            }).sync();
            assertEquals("$2\r\nok\r\n", client.receive(8));
            assertEquals("+PONG\r\n", client.send(PING).receive(7));
        });
    }

    /** The deadline's timer runs in the turn that would read the answer; whichever is first, the other changes nothing. */
    @Test void anAnswerInTheTurnInWhichItsTimeEndsIsTheSecondWord() throws Exception {
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

    @Test void aSecondAnswerBehindTheFirstIsNobodys() throws Exception {
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
