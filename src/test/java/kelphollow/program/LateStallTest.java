package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.routing.EndpointUpdateBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A watch that has been answered for 13 s and then falls silent is broken as soon as one that was silent from the start. */
@Timeout(20)
class LateStallTest {
    private static final int ANSWERED_FOR = 13_000;
    private static final int STEP = 20;

    private static void answer(ScriptedPeer.Line call, int version) throws Exception {
        String list = FakeDiscovery.list(version, false);
        call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    @Test void itIsOpenedAnewInTimeThoughNothingEndsItsConnection() throws Exception {
        for (String mode : List.of("automatic", "subscribe")) {
            double most = EndpointUpdateBudget.longest(mode.equals("automatic")) - EndpointUpdateBudget.TURN;
            try (ScriptedPeer discovery = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, discovery.address())) {
                int version = 1;
                for (int passed = 0; passed < ANSWERED_FOR; passed += 500) {
                    ScriptedPeer.Line call = discovery.accept();
                    assertTrue(call.until("\r\n\r\n").contains("?index=" + version + "&wait="), mode);
                    harness.ticker.advance(500);
                    answer(call, ++version);
                }
                ScriptedPeer.Line silent = discovery.accept();
                silent.until("\r\n\r\n");
                ScriptedPeer.Line again = null;
                for (int passed = 0; again == null; passed += STEP) {
                    assertTrue(passed < most, mode + ": " + passed + " ms of silence");
                    harness.ticker.advance(STEP);
                    again = discovery.acceptIfAny();
                }
                assertTrue(again.until("\r\n\r\n").contains("?index=" + version + "&wait="), mode);
                assertTrue(silent.hasEnded(), mode);
            }
        }
    }
}
