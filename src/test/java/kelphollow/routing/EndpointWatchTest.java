package kelphollow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlEvent.EndpointPollFailure;
import org.junit.jupiter.api.Test;

/** When the watch of the endpoint list begins, and when it begins again after a failure. */
class EndpointWatchTest {
    private final RouterHarness harness = new RouterHarness();
    private final RequestRouter router = harness.router;
    private int watches;
    private int stops;
    private final EndpointSource source = new EndpointSource() {
        @Override public void watch() {
            watches++;
        }

        @Override public void stop() {
            stops++;
        }
    };

    @Test void everyListIsWatchedFromTheStartIfTheModuleDoesNotPoll() {
        router.start(source, true);
        assertEquals(1, watches, "pushed");

        router.changeEndpointSource(source, false);

        assertTrue(watches > 1, "polled");
        assertEquals(1, stops, "the previous watch is stopped");
    }

    /**
     * A change that an agent gets when its service returns counts as notified at once: a longer delay would exceed the
     * drain grace.
     */
    @Test void aPushedWatchIsRenewedAfterTheSameShortDelayHoweverLongItFails() {
        router.start(source, true);

        for (int failure = 0; failure < 20; failure++) {
            int before = watches;
            router.endpointPollFailed(EndpointPollFailure.TIMED_OUT, harness.now);
            harness.advance(99);
            assertEquals(before, watches, "failure " + failure);
            harness.advance(1);
            assertEquals(before + 1, watches, "failure " + failure);
        }
    }

    @Test void aPolledWatchIsRenewedWhenTheModuleDecides() {
        router.start(source, false);
        assertEquals(1, watches);

        router.endpointPollFailed(EndpointPollFailure.UNREACHABLE, harness.now);
        assertEquals(1, watches, "the module chooses a backoff, since all schedulers share the service");
        harness.advance(10, 160);

        assertEquals(2, watches);
    }

    @Test void aWatchThatWasReplacedIsNotRenewed() {
        router.start(source, true);
        router.endpointPollFailed(EndpointPollFailure.UNREACHABLE, harness.now);

        router.changeEndpointSource(() -> {}, true);
        harness.advance(1_000);

        assertEquals(1, watches);
    }
}
