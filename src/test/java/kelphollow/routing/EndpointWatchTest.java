package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlEvent.EndpointPollFailure;
import org.junit.jupiter.api.Test;

/** Who begins the watch of the node list, and who begins it again. */
class EndpointWatchTest {
    private final RouterHarness h = new RouterHarness();
    private int watches, stops;
    private final EndpointSource directory = new EndpointSource() {
        @Override public void watch() {
            watches++;
        }

        @Override public void stop() {
            stops++;
        }
    };

    @Test void anyListIsWatchedAtTheStartThoughTheModuleDoesNotAsk() {
        h.router.start(directory, true);
        assertEquals(1, watches, "pushed");
        h.router.follow(directory, false);
        assertTrue(watches > 1, "asked");
        assertEquals(1, stops, "the one before ends");
    }

    /** What an agent gets at the return of its service counts at once: longer pauses would outlast the grace for drains. */
    @Test void aPushedWatchIsRenewedAfterTheSameShortPauseHoweverLongItFails() {
        h.router.start(directory, true);
        for (int failure = 0; failure < 20; failure++) {
            int before = watches;
            h.router.endpointPollFailed(EndpointPollFailure.TIMED_OUT, h.now);
            h.pass(99);
            assertEquals(before, watches, "failure " + failure);
            h.pass(1);
            assertEquals(before + 1, watches, "failure " + failure);
        }
    }

    @Test void anAskedWatchIsRenewedWhenTheModuleSaysSo() {
        h.router.start(directory, false);
        assertEquals(1, watches);
        h.router.endpointPollFailed(EndpointPollFailure.UNREACHABLE, h.now);
        assertEquals(1, watches, "all schedulers share the service: the module draws a pause");
        for (int i = 0; i < 160; i++) {
            h.pass(10);
        }
        assertEquals(2, watches);
    }

    @Test void aWatchThatWasReplacedIsNotRenewed() {
        h.router.start(directory, true);
        h.router.endpointPollFailed(EndpointPollFailure.UNREACHABLE, h.now);
        h.router.follow(() -> {}, true);
        h.pass(1_000);
        assertEquals(1, watches);
    }
}
