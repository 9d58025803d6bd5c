package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.EndpointListLease.State;
import org.junit.jupiter.api.Test;

/** What a lease on the node list rests on, and that it never outlasts what may count as told. */
class EndpointListLeaseTest {
    private static final double TOLD_AFTER = 6_000, LATENESS = 150, TERM = TOLD_AFTER - LATENESS, TURN = 2_000;

    /** How a call of a service that is there fails. */
    private static final List<EndpointPollFailure> LOST = List.of(EndpointPollFailure.WATCH_BROKEN,
        EndpointPollFailure.TIMED_OUT,
        EndpointPollFailure.INVALID_RESPONSE);

    private final EndpointListLease asked = EndpointListLease.asked(TOLD_AFTER, LATENESS, 1);

    @Test void aListOfUnknownAgeMayNotBeUsedBeforeTheServiceHasSpoken() {
        assertEquals(State.NEVER_HEARD, asked.state(0));
        assertFalse(asked.isValid(0));
        asked.confirmed(1_000);
        assertTrue(asked.isValid(1_000 + TERM - 1));
        assertFalse(asked.isValid(1_000 + TERM));
        assertEquals(State.EXPIRED, asked.state(1_000 + TERM));
    }

    @Test void aPushedStartWaitsForItsAgentToSpeakOrToStaySilentTwice() {
        EndpointListLease pushed = EndpointListLease.pushed(TOLD_AFTER, LATENESS);
        assertFalse(pushed.isValid(500));
        pushed.failed(EndpointPollFailure.TIMED_OUT, 500, 2_300);
        assertFalse(pushed.isValid(2_800), "what the agent had before may have counted from the start");
        pushed.failed(EndpointPollFailure.TIMED_OUT, 2_900, 2_300);
        assertTrue(pushed.isValid(2_900 + TERM - 1), "an agent is silent only while the service is down");
        EndpointListLease alone = EndpointListLease.pushed(TOLD_AFTER, LATENESS);
        alone.failed(EndpointPollFailure.UNREACHABLE, 500, 1);
        assertTrue(alone.isValid(501), "there is no agent");
    }

    @Test void aServiceThatIsThereDoesNotRenewItByFailing() {
        asked.confirmed(0);
        for (EndpointPollFailure failure : List.of(EndpointPollFailure.WATCH_BROKEN, EndpointPollFailure.INVALID_RESPONSE,
            EndpointPollFailure.TIMED_OUT)) {
            asked.failed(failure, 3_000, TURN);
            assertEquals(TERM, asked.validUntil(), failure.toString());
        }
        asked.failed(EndpointPollFailure.REJECTED, 3_000, 5);
        assertEquals(TERM, asked.validUntil(), "a full queue is that of a service which is up");
    }

    @Test void aServiceThatIsDownLetsTheLastWordStand() {
        asked.confirmed(0);
        asked.failed(EndpointPollFailure.REJECTED, 3_000, TURN);
        assertEquals(3_000 + TERM, asked.validUntil(), "from the making of the call: at its end it may be back");
        assertEquals(State.SERVICE_DOWN, asked.state(TERM + 1));
        asked.failed(EndpointPollFailure.UNREACHABLE, 8_000, 1);
        assertEquals(8_000 + TERM, asked.validUntil());
    }

    @Test void aStartNeedsTwoSignsInARowThatTheServiceIsDown() {
        asked.failed(EndpointPollFailure.REJECTED, 100, TURN);
        assertFalse(asked.isValid(2_100), "it may have waited in vain in a crowd");
        asked.failed(EndpointPollFailure.REJECTED, 3_000, 5);
        asked.failed(EndpointPollFailure.REJECTED, 4_000, TURN);
        assertFalse(asked.isValid(6_000), "a full queue in between");
        asked.failed(EndpointPollFailure.UNREACHABLE, 7_000, 1);
        assertTrue(asked.isValid(7_001));
        assertEquals(State.SERVICE_DOWN, asked.state(7_001));
    }

    @Test void aStartInALargeFleetWaitsForAsLongAsACrowdMayLast() {
        EndpointListLease lease = EndpointListLease.asked(TOLD_AFTER, LATENESS, 100);
        for (double calledAt = 1_000; calledAt < 11_000; calledAt += 3_000) {
            lease.failed(EndpointPollFailure.REJECTED, calledAt, TURN);
            assertFalse(lease.isValid(calledAt + TURN), "called at " + calledAt);
        }
        lease.failed(EndpointPollFailure.REJECTED, 11_000, TURN);
        assertTrue(lease.isValid(13_000), "12 s after the first of them: twice 60 ms for each instance");
    }

    @Test void anotherServicesNewsCountsSooner() {
        asked.confirmed(10_000);
        asked.moved(11_000);
        assertEquals(11_000 + EndpointListLease.MOVED_TOLD_AFTER - LATENESS, asked.validUntil());
        asked.confirmed(12_000);
        assertEquals(12_000 + TERM, asked.validUntil());
        asked.failed(EndpointPollFailure.UNREACHABLE, 13_000, 1);
        asked.moved(13_100);
        double told = 13_100 + EndpointListLease.MOVED_TOLD_AFTER;
        assertEquals(told - LATENESS, asked.validUntil(), "the old one's outage says nothing");
        asked.moved(15_000);
        assertEquals(told - LATENESS, asked.validUntil(), "a second move puts off nothing that the first one owes");
    }

    @Test void anUnboundedOneNeverEnds() {
        EndpointListLease lease = EndpointListLease.unbounded();
        lease.failed(EndpointPollFailure.WATCH_BROKEN, 5, 1);
        lease.moved(10);
        lease.confirmed(Double.POSITIVE_INFINITY);
        assertTrue(lease.isValid(1e15));
        assertEquals(State.CURRENT, lease.state(1e15));
    }

    /**
     * A service that goes down and comes back, and calls that are served, lost, cut or kept waiting: while the lease is
     * valid, no change that the caller has not heard may count. What counts is worked out from the history alone.
     */
    @Test void noUnheardChangeCountsWhileItIsValid() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            EndpointListLease lease = EndpointListLease.asked(TOLD_AFTER, LATENESS, 1);
            double now = 0, upSince = 0, downUntil = -1, heardAt = -1, unheardCounts = Double.POSITIVE_INFINITY;
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
                    : LOST.get(random.nextInt(LOST.size()));
                boolean served = !down && random.nextInt(3) > 0;
                now += served ? 1_400 * random.nextDouble() : down ? TURN : 2_300 * random.nextDouble();
                if (served) {
                    heardAt = calledAt;
                    lease.confirmed(calledAt);
                } else {
                    lease.failed(failure, calledAt, now - calledAt);
                }
                // The earliest change that it cannot know: right after what it heard; it counts from when it can be told.
                unheardCounts = Math.max(heardAt, Math.min(upSince, now)) + TOLD_AFTER;
                double look = now + 2_000 * random.nextDouble();
                if (lease.isValid(look) && look >= upSince) {
                    assertTrue(look < unheardCounts, "seed " + seed + ", call " + call + ": at " + look);
                }
                now += 1_400 * random.nextDouble();
            }
        }
    }
}
