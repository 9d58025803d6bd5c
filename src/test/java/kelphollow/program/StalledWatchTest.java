package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.routing.EndpointUpdateBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A watch that stalls after 13 s of responses must be restarted as soon as one that never got a response. */
@Timeout(20)
class StalledWatchTest {
    private static final int ANSWERED_FOR_MS = 13_000;
    private static final int STEP_MS = 20;
    private static final List<String> MODES = List.of("automatic", "subscribe");

    private static void respond(ScriptedPeer.Connection poll, int version) throws Exception {
        String list = FakeDiscovery.list(version, false);
        poll.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    @Test void aStalledWatchIsRestartedWithinTheBudgetThoughItsConnectionStaysOpen() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer discovery = new ScriptedPeer();
                 ServerHarness server = ServerHarness.respWith(mode, discovery.address())) {
                int version = 1;
                for (int passed = 0; passed < ANSWERED_FOR_MS; passed += 500) {
                    ScriptedPeer.Connection poll = discovery.accept();
                    assertTrue(poll.until("\r\n\r\n").contains("?index=" + version + "&wait="), mode);
                    server.ticker.advance(500);
                    version++;
                    respond(poll, version);
                }
                ScriptedPeer.Connection stalled = discovery.accept();
                stalled.until("\r\n\r\n");

                ScriptedPeer.Connection again = nextConnection(discovery, server, mode);

                assertTrue(again.until("\r\n\r\n").contains("?index=" + version + "&wait="), mode);
                assertTrue(stalled.hasEnded(), mode);
            }
        }
    }

    /** Advances the clock until the program connects again, which must happen within the budget. */
    private static ScriptedPeer.Connection nextConnection(ScriptedPeer discovery, ServerHarness server, String mode)
        throws Exception {
        double longest = EndpointUpdateBudget.longestDelay(mode.equals("automatic")) - EndpointUpdateBudget.QUEUE_WAIT_MS;
        ScriptedPeer.Connection next = null;
        for (int passed = 0; next == null; passed += STEP_MS) {
            assertTrue(passed < longest, mode + ": " + passed + " ms of silence");
            server.ticker.advance(STEP_MS);
            next = discovery.acceptIfAny();
        }
        return next;
    }
}
