package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.*;

import kelphollow.decision.ControlApi.ListFailure;
import org.junit.jupiter.api.Test;

/** Who begins the watch of the node list, and who begins it again. */
class ListWatchTest {
    private final Harness h = new Harness();
    private int watches, stops;
    private final Directory directory = new Directory() {
        @Override public void watch() {
            watches++;
        }

        @Override public void stop() {
            stops++;
        }
    };

    @Test void anyListIsWatchedAtTheStartThoughTheModuleDoesNotAsk() {
        h.core.start(directory, true);
        assertEquals(1, watches, "pushed");
        h.core.follow(directory, false);
        assertTrue(watches > 1, "asked");
        assertEquals(1, stops, "the one before ends");
    }

    /** What an agent gets at the return of its service counts at once: longer pauses would outlast the grace for drains. */
    @Test void aPushedWatchIsRenewedAfterTheSameShortPauseHoweverLongItFails() {
        h.core.start(directory, true);
        for (int failure = 0; failure < 20; failure++) {
            int before = watches;
            h.core.listFailed(ListFailure.SILENT, h.now);
            h.pass(99);
            assertEquals(before, watches, "failure " + failure);
            h.pass(1);
            assertEquals(before + 1, watches, "failure " + failure);
        }
    }

    @Test void anAskedWatchIsRenewedWhenTheModuleSaysSo() {
        h.core.start(directory, false);
        assertEquals(1, watches);
        h.core.listFailed(ListFailure.NO_ANSWER, h.now);
        assertEquals(1, watches, "all schedulers share the service: the module draws a pause");
        for (int i = 0; i < 160; i++) {
            h.pass(10);
        }
        assertEquals(2, watches);
    }

    @Test void aWatchThatWasReplacedIsNotRenewed() {
        h.core.start(directory, true);
        h.core.listFailed(ListFailure.NO_ANSWER, h.now);
        h.core.follow(() -> {}, true);
        h.pass(1_000);
        assertEquals(1, watches);
    }
}
