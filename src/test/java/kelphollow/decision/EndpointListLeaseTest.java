package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.EndpointListLease.State;
import org.junit.jupiter.api.Test;

/** When a lease on the endpoint list is valid; it must end before an unreceived change may count as notified. */
class EndpointListLeaseTest {
    private static final double NOTIFIED_AFTER = 6_000;
    private static final double LATENESS = 150;
    private static final double TERM = NOTIFIED_AFTER - LATENESS;
    private static final double DRAIN_GRACE = 250;
    /** Duration of a call that was queued at the service before it failed. */
    private static final double QUEUED = 2_000;

    /** Failures of calls to a service that is up. */
    private static final List<EndpointPollFailure> FAILURES_WHILE_UP = List.of(EndpointPollFailure.WATCH_BROKEN,
        EndpointPollFailure.TIMED_OUT,
        EndpointPollFailure.INVALID_RESPONSE);

    private final EndpointListLease polled = EndpointListLease.polled(NOTIFIED_AFTER, LATENESS, 1);

    @Test void listOfUnknownAgeIsNotUsedBeforeTheServiceHasAnswered() {
        assertEquals(State.NEVER_HEARD, polled.state(0));
        assertFalse(polled.isValid(0));
        polled.confirmed(1_000);
        assertTrue(polled.isValid(1_000 + TERM - 1));
        assertFalse(polled.isValid(1_000 + TERM));
        assertEquals(State.EXPIRED, polled.state(1_000 + TERM));
    }

    @Test void pushedLeaseStartsAfterTheAgentAnswersOrTimesOutTwice() {
        EndpointListLease pushed = EndpointListLease.pushed(NOTIFIED_AFTER, LATENESS, DRAIN_GRACE);
        assertFalse(pushed.isValid(500));
        pushed.failed(EndpointPollFailure.TIMED_OUT, 500, 2_300);
        assertFalse(pushed.isValid(2_800), "a change received by the agent before the start may already count as notified");
        pushed.failed(EndpointPollFailure.TIMED_OUT, 2_900, 2_300);
        assertTrue(pushed.isValid(2_900 + TERM - 1), "an agent is silent only while the service is down");
        EndpointListLease alone = EndpointListLease.pushed(NOTIFIED_AFTER, LATENESS, DRAIN_GRACE);
        alone.failed(EndpointPollFailure.UNREACHABLE, 500, 1);
        assertTrue(alone.isValid(501), "no agent is running");
    }

    @Test void pushedListIsUsedForNoLongerThanTheGraceAfterAnAnswerThatCannotBeRead() {
        EndpointListLease pushed = EndpointListLease.pushed(NOTIFIED_AFTER, LATENESS, DRAIN_GRACE);
        pushed.confirmed(1_000);
        pushed.failed(EndpointPollFailure.WATCH_BROKEN, 1_500, 500);
        assertTrue(pushed.isValid(2_500), "a silent watch may mean that the service is down");
        pushed.failed(EndpointPollFailure.INVALID_RESPONSE, 2_500, 5);
        pushed.failed(EndpointPollFailure.INVALID_RESPONSE, 2_600, 5);

        assertTrue(pushed.isValid(2_505 + DRAIN_GRACE - LATENESS - 1));
        assertFalse(pushed.isValid(2_505 + DRAIN_GRACE - LATENESS), "the agent may have had a change in its first answer");
        pushed.confirmed(2_700);
        assertTrue(pushed.isValid(2_700 + TERM - 1));
    }

    @Test void failuresOfAServiceThatIsUpDoNotRenewTheLease() {
        polled.confirmed(0);
        for (EndpointPollFailure failure : List.of(EndpointPollFailure.WATCH_BROKEN, EndpointPollFailure.INVALID_RESPONSE,
            EndpointPollFailure.TIMED_OUT)) {
            polled.failed(failure, 3_000, QUEUED);
            assertEquals(TERM, polled.validUntil(), failure.toString());
        }
        polled.failed(EndpointPollFailure.REJECTED, 3_000, 5);
        assertEquals(TERM, polled.validUntil(), "a full queue shows that the service is up");
    }

    @Test void lastListStaysValidWhileTheServiceIsDown() {
        polled.confirmed(0);
        polled.failed(EndpointPollFailure.REJECTED, 3_000, QUEUED);
        assertEquals(3_000 + TERM, polled.validUntil(), "from the start of the call: at its end it may be up again");
        assertEquals(State.SERVICE_DOWN, polled.state(TERM + 1));
        polled.failed(EndpointPollFailure.UNREACHABLE, 8_000, 1);
        assertEquals(8_000 + TERM, polled.validUntil());
    }

    @Test void afterAStartTwoConsecutiveFailuresMustShowTheServiceDown() {
        polled.failed(EndpointPollFailure.REJECTED, 100, QUEUED);
        assertFalse(polled.isValid(2_100), "it may have been queued too long in a startup burst");
        polled.failed(EndpointPollFailure.REJECTED, 3_000, 5);
        polled.failed(EndpointPollFailure.REJECTED, 4_000, QUEUED);
        assertFalse(polled.isValid(6_000), "a full queue in between shows that the service is up");
        polled.failed(EndpointPollFailure.UNREACHABLE, 7_000, 1);
        assertTrue(polled.isValid(7_001));
        assertEquals(State.SERVICE_DOWN, polled.state(7_001));
    }

    @Test void startInALargeFleetWaitsForTheStartupBurst() {
        EndpointListLease lease = EndpointListLease.polled(NOTIFIED_AFTER, LATENESS, 100);
        for (double calledAt = 1_000; calledAt < 11_000; calledAt += 3_000) {
            lease.failed(EndpointPollFailure.REJECTED, calledAt, QUEUED);
            assertFalse(lease.isValid(calledAt + QUEUED), "called at " + calledAt);
        }
        lease.failed(EndpointPollFailure.REJECTED, 11_000, QUEUED);
        assertTrue(lease.isValid(13_000), "12 s after the first failure: twice 60 ms per instance");
    }

    @Test void changesCountSoonerAfterASourceChange() {
        polled.confirmed(10_000);
        polled.sourceChanged(11_000);
        assertEquals(11_000 + EndpointListLease.NEW_SOURCE_NOTIFIED_AFTER_MS - LATENESS, polled.validUntil());
        polled.confirmed(12_000);
        assertEquals(12_000 + TERM, polled.validUntil());
        polled.failed(EndpointPollFailure.UNREACHABLE, 13_000, 1);
        polled.sourceChanged(13_100);
        double notified = 13_100 + EndpointListLease.NEW_SOURCE_NOTIFIED_AFTER_MS;
        assertEquals(notified - LATENESS, polled.validUntil(), "an outage of the old service does not extend the lease");
        polled.sourceChanged(15_000);
        assertEquals(notified - LATENESS, polled.validUntil(), "a second source change does not extend the first bound");
    }

    @Test void unboundedLeaseNeverEnds() {
        EndpointListLease lease = EndpointListLease.unbounded();
        lease.failed(EndpointPollFailure.WATCH_BROKEN, 5, 1);
        lease.sourceChanged(10);
        lease.confirmed(Double.POSITIVE_INFINITY);
        assertTrue(lease.isValid(1e15));
        assertEquals(State.CURRENT, lease.state(1e15));
    }

    /**
     * Simulates a service that goes down and comes back, and calls that are served, lost, aborted or delayed: while the
     * lease is valid, no change that the caller has not received may count as notified. The earliest such change is
     * computed from the history, independently of the lease.
     */
    @Test void noUnreceivedChangeCountsAsNotifiedWhileTheLeaseIsValid() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            EndpointListLease lease = EndpointListLease.polled(NOTIFIED_AFTER, LATENESS, 1);
            double now = 0;
            double upSince = 0;
            double downUntil = -1;
            double receivedAt = -1;
            double unreceivedCounts = Double.POSITIVE_INFINITY;
            for (int call = 0; call < 40; call++) {
                double calledAt = now;
                boolean down = now < downUntil;
                if (!down && random.nextInt(6) == 0) {
                    downUntil = now + 12_000 * random.nextDouble();
                    down = true;
                }
                upSince = down ? downUntil : upSince;
                EndpointPollFailure failure = down ? random.nextBoolean() ? EndpointPollFailure.REJECTED
                    : EndpointPollFailure.UNREACHABLE
                    : FAILURES_WHILE_UP.get(random.nextInt(FAILURES_WHILE_UP.size()));
                boolean served = !down && random.nextInt(3) > 0;
                now += served ? 1_400 * random.nextDouble() : down ? QUEUED : 2_300 * random.nextDouble();
                if (served) {
                    receivedAt = calledAt;
                    lease.confirmed(calledAt);
                } else {
                    lease.failed(failure, calledAt, now - calledAt);
                }
                // The earliest unreceived change follows the last received list and counts once it can be received.
                unreceivedCounts = Math.max(receivedAt, Math.min(upSince, now)) + NOTIFIED_AFTER;
                double checkedAt = now + 2_000 * random.nextDouble();
                if (lease.isValid(checkedAt) && checkedAt >= upSince) {
                    assertTrue(checkedAt < unreceivedCounts, "seed " + seed + ", call " + call + ": at " + checkedAt);
                }
                now += 1_400 * random.nextDouble();
            }
        }
    }
}
