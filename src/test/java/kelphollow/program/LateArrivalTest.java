package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against telling a node more time than its client has left, because the request lay unread in a late process. */
@Timeout(20)
class LateArrivalTest {
    private static final Pattern TIME_LEFT = Pattern.compile("d=(\\d+)");
    private static final int PATIENCE_MS = 3_000;
    private static final String FIELDS = "c=dump-write,t=padrao,d=" + PATIENCE_MS + ",volume=v,units=1,shard=0,hosts=1";
    private static final String REQUEST = "*4\r\n$7\r\nOBJ.GET\r\n$1\r\np\r\n$4\r\nlate\r\n$" + FIELDS.length() + "\r\n"
        + FIELDS
        + "\r\n";
    private static final int LATE_BY_MS = 400;
    private static final int SLACK_MS = 150;
    /** Each of these after the third delays the next command by 50 ms. */
    private static final int INVALID_COMMANDS = 12;
    private static final int WAITED_MS = 8 * 50;

    @Test void theTimeToldToANodeLeavesOutTheTimeThatTheRequestLayUnread() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send("*1\r\n$4\r\nPING\r\n").until("\r\n");
            CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
            client.send(REQUEST);
            harness.loop.execute(() -> harness.ticker.advance(LATE_BY_MS));
            unblock.countDown();

            Matcher told = TIME_LEFT.matcher(node.accept().until("hosts=1\r\n"));

            assertTrue(told.find());
            int left = PATIENCE_MS - LATE_BY_MS;
            assertTrue(Integer.parseInt(told.group(1)) <= left + SLACK_MS, told.group() + ", its client has " + left
                + " ms");
        }
    }

    @Test void theTimeToldToANodeLeavesOutTheTimeThatTheRequestWaitedBehindInvalidCommands() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send("*1\r\n$3\r\nNOP\r\n".repeat(INVALID_COMMANDS) + REQUEST).until("\r\n");
            harness.runFor(2 * WAITED_MS);

            Matcher told = TIME_LEFT.matcher(node.accept().until("hosts=1\r\n"));

            assertTrue(told.find());
            int left = PATIENCE_MS - WAITED_MS;
            assertTrue(Integer.parseInt(told.group(1)) <= left + SLACK_MS, told.group() + ", its client has " + left
                + " ms");
        }
    }

    @Test void aRequestWhoseTimeIsOverBeforeItIsHandledIsAnsweredAndNotForwarded() throws Exception {
        try (ScriptedPeer node = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(null, node.address())) {
            int invalid = 10 * INVALID_COMMANDS;
            ScriptedPeer.Connection client = clients.connect(harness.address);
            client.send("*1\r\n$3\r\nNOP\r\n".repeat(invalid) + REQUEST);
            for (int i = 0; i < invalid; i++) {
                client.until("\r\n");
                harness.runFor(WAITED_MS / 8);
            }

            assertTrue(client.until("\r\n").startsWith("-"));
            assertNull(node.acceptIfAny());
        }
    }
}
