package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client that reads nothing while replies wait for it must not hold them for good. */
@Timeout(30)
class StalledClientTest {
    private static final int VALUE_BYTES = 64_000;
    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final int MAX_REQUESTS = 300;
    private static final int AT_ONCE = 2;
    private static final int HANDLED_WITHIN_MS = 2_000;
    private static final int STALL_MS = 10_500;
    private static final int GUARD_TIMEOUT_MS = 5_000;

    private static String get(int number) {
        String values = "c=dump-read,t=prioritario,d=1200,volume=v" + number + ",units=1,shard=0,hosts=1";
        String id = "g" + number;
        return "*4\r\n$7\r\nOBJ.GET\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + values.length() + "\r\n"
            + values
            + "\r\n";
    }

    /**
     * Sends requests until the socket takes no more replies, and reads nothing. Behind each few of them comes a PING, whose
     * reply waits as soon as one of theirs does.
     */
    private static void fill(ServerHarness server, ValueNode node, Socket client) throws Exception {
        for (int number = 0; number < MAX_REQUESTS; number += AT_ONCE) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < AT_ONCE; i++) {
                commands.append(get(number + i));
            }
            client.getOutputStream().write(commands.append(PING).toString().getBytes(StandardCharsets.US_ASCII));
            if (!awaitAnswers(server, node, number + AT_ONCE)) {
                return;                                    // the program handles no more commands of this client
            }
        }
        fail("the socket takes all replies");
    }

    /** Waits until the node has answered so many requests; returns false if it does not get them. */
    private static boolean awaitAnswers(ServerHarness server, ValueNode node, int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HANDLED_WITHIN_MS);
        while (node.answered() < count || server.openRequests() > 0) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(1);
            server.ticker.advance(1);                      // a retry waits for its backoff
        }
        return true;
    }

    /** Whether the connection ends once all that has arrived is read; blocks until the socket's timeout if it does not. */
    private static boolean hasEnded(Socket client) throws IOException {
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
            return true;
        } catch (SocketException reset) {
            return true;
        } catch (SocketTimeoutException open) {
            return false;
        }
    }

    @Test void aClientThatReadsNothingWhileRepliesWaitIsDisconnected() throws Exception {
        try (ValueNode node = ValueNode.answering(VALUE_BYTES);
             ServerHarness server = ServerHarness.resp(null, node.address());
             Socket client = new Socket()) {
            client.setReceiveBufferSize(VALUE_BYTES);
            client.setSoTimeout(GUARD_TIMEOUT_MS);
            client.connect(server.address);
            fill(server, node, client);

            server.runFor(STALL_MS);

            assertTrue(hasEnded(client));
        }
    }
}
