package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.site.ForwardedRequest.NextStep;
import org.junit.jupiter.api.Test;

/** Each transition of a forwarded request's state machine. */
class ForwardedRequestTest {
    private static final OutcomeResponse RAN = new OutcomeResponse(OutcomeResponse.Kind.RAN, new byte[] {7});
    private final ForwardedRequest request = new ForwardedRequest(new RequestIdentity("a", 1, 1));

    private void send() {
        request.begin();
        request.intentRecorded();
    }

    private void loseOutcome() {
        send();
        request.lastByteWritten();
        request.linkBroken();
    }

    @Test void nothingIsSentBeforeTheIntentIsRecorded() {
        assertEquals(NextStep.RECORD_INTENT, request.begin());
        assertEquals(NextStep.SEND, request.intentRecorded());
    }

    @Test void withoutAnIntentItNeverRan() {
        request.begin();
        assertEquals(NextStep.NEVER_RAN, request.intentFailed());
    }

    @Test void aLinkThatBreaksBeforeTheLastByteProvesThatItNeverRan() {
        send();
        assertEquals(NextStep.NEVER_RAN, request.linkBroken());
    }

    @Test void aLinkThatBreaksAfterTheLastByteLeavesTheOutcomeUnknown() {
        loseOutcome();

        assertTrue(request.isOutcomeUnknown());
        assertFalse(request.isEnded());
    }

    @Test void anUnknownOutcomeIsQueriedOnce() {
        loseOutcome();

        assertEquals(NextStep.QUERY, request.query());
        assertEquals(NextStep.WAIT, request.query());
    }

    @Test void aQueryIsRepeatedAfterTheNextLinkBreaks() {
        loseOutcome();
        request.query();

        request.linkBroken();

        assertEquals(NextStep.QUERY, request.query());
    }

    @Test void aQueryIsRepeatedWhileTheRequestRuns() {
        loseOutcome();
        request.query();

        assertEquals(NextStep.WAIT, request.responseReceived(OutcomeResponse.RUNNING));

        assertEquals(NextStep.QUERY, request.query());
    }

    @Test void aResponseEndsItWithItsOutcome() {
        send();
        request.lastByteWritten();

        assertEquals(NextStep.RAN, request.responseReceived(RAN));

        assertTrue(request.isEnded());
        assertArrayEquals(new byte[] {7}, request.outcome());
    }

    @Test void theRemoteSitesProofThatItNeverRanEndsIt() {
        loseOutcome();
        request.query();
        assertEquals(NextStep.NEVER_RAN, request.responseReceived(OutcomeResponse.NEVER_RAN));
    }

    @Test void anOutcomeUnknownToTheRemoteSiteEndsItAsMayHaveRun() {
        loseOutcome();
        request.query();
        assertEquals(NextStep.MAY_HAVE_RUN, request.responseReceived(OutcomeResponse.UNKNOWN));
    }

    @Test void abandonedBeforeTheLastByteItNeverRan() {
        send();
        assertEquals(NextStep.NEVER_RAN, request.abandon());
    }

    @Test void abandonedAfterTheLastByteItMayHaveRun() {
        send();
        request.lastByteWritten();
        assertEquals(NextStep.MAY_HAVE_RUN, request.abandon());
    }

    @Test void anEndIsNotChangedByLaterEvents() {
        send();
        request.lastByteWritten();
        request.abandon();

        assertEquals(NextStep.MAY_HAVE_RUN, request.responseReceived(RAN));
        assertEquals(NextStep.MAY_HAVE_RUN, request.linkBroken());
        assertEquals(NextStep.MAY_HAVE_RUN, request.query());
    }
}
