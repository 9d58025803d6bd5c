package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.site.DuplicateFilter.Verdict;
import org.junit.jupiter.api.Test;

/** Verdicts on arriving requests and responses to queries, also after eviction, restart and loss of records. */
class DuplicateFilterTest {
    private static final int MAX_RUNNING = 2;
    private static final double WINDOW_MS = 1_000;
    private static final byte[] OUTCOME = {7};
    private final DuplicateFilter filter = connected(new DuplicateFilter(MAX_RUNNING, WINDOW_MS, true));

    private static DuplicateFilter connected(DuplicateFilter filter) {
        filter.helloReceived("a", 1, 0);
        return filter;
    }

    private static RequestIdentity identity(long number) {
        return new RequestIdentity("a", 1, number);
    }

    @Test void aRequestRunsOnce() {
        assertEquals(Verdict.RUN, filter.admit(identity(1), 0));
        assertEquals(Verdict.IN_PROGRESS, filter.admit(identity(1), 0));
    }

    @Test void aCopyOfARequestThatRanGetsItsOutcome() {
        filter.admit(identity(1), 0);
        filter.markRan(identity(1), OUTCOME, 1);

        assertEquals(Verdict.REPLAY, filter.admit(identity(1), 2));
        assertArrayEquals(OUTCOME, filter.query(identity(1), 2).outcome());
    }

    @Test void aQueryFencesARequestThatHasNotArrived() {
        assertEquals(OutcomeResponse.Kind.NEVER_RAN, filter.query(identity(1), 0).kind());
        assertEquals(Verdict.REJECT, filter.admit(identity(1), 1));
    }

    @Test void aRequestBeyondCapacityIsFenced() {
        filter.admit(identity(1), 0);
        filter.admit(identity(2), 0);

        assertEquals(Verdict.AT_CAPACITY, filter.admit(identity(3), 0));

        assertEquals(OutcomeResponse.Kind.NEVER_RAN, filter.query(identity(3), 0).kind());
        filter.markRan(identity(1), OUTCOME, 1);
        assertEquals(Verdict.REJECT, filter.admit(identity(3), 1));
    }

    @Test void anInterruptedAttemptStaysUnknown() {
        filter.admit(identity(1), 0);
        filter.markUnknown(identity(1), 1);

        assertEquals(OutcomeResponse.Kind.UNKNOWN, filter.query(identity(1), 1).kind());
        assertEquals(Verdict.REJECT, filter.admit(identity(1), 1));
    }

    @Test void aKnownOutcomeIsNotOverwritten() {
        filter.admit(identity(1), 0);
        filter.markRan(identity(1), OUTCOME, 1);
        filter.markUnknown(identity(1), 2);

        assertEquals(OutcomeResponse.Kind.RAN, filter.query(identity(1), 2).kind());
    }

    @Test void anEvictedRequestIsNeitherRunNorReportedAsNeverRun() {
        filter.admit(identity(1), 0);
        filter.markRan(identity(1), OUTCOME, 0);

        filter.evictExpired(WINDOW_MS + 1);

        assertEquals(0, filter.size());
        assertEquals(Verdict.REJECT, filter.admit(identity(1), WINDOW_MS + 1));
        assertEquals(OutcomeResponse.Kind.UNKNOWN, filter.query(identity(1), WINDOW_MS + 1).kind());
    }

    @Test void anIntentWithoutAnOutcomeIsUnknownAfterARestart() {
        DuplicateFilter restarted = new DuplicateFilter(MAX_RUNNING, WINDOW_MS, true);
        restarted.restore(identity(1), null, 0);
        connected(restarted);

        assertEquals(OutcomeResponse.Kind.UNKNOWN, restarted.query(identity(1), 0).kind());
    }

    @Test void aMissingRecordProvesNothingIfTheStoreLostSomething() {
        DuplicateFilter incomplete = new DuplicateFilter(MAX_RUNNING, WINDOW_MS, false);
        incomplete.helloReceived("a", 1, 5);

        assertEquals(OutcomeResponse.Kind.UNKNOWN, incomplete.query(identity(4), 0).kind());
        assertEquals(OutcomeResponse.Kind.NEVER_RAN, incomplete.query(identity(5), 0).kind());
    }

    @Test void anEarlierIncarnationOfAGatewayIsNotAdmittedAnyMore() {
        assertTrue(filter.helloReceived("a", 2, 0));

        assertFalse(filter.helloReceived("a", 1, 0));
        assertEquals(Verdict.REJECT, filter.admit(identity(1), 0));
    }
}
