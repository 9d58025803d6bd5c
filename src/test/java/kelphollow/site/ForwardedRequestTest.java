package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.site.ForwardedRequest.Next;
import org.junit.jupiter.api.Test;

/** The transitions of a forwarded request, one by one. */
class ForwardedRequestTest {
    private static final OutcomeResponse RAN = new OutcomeResponse(OutcomeResponse.Kind.RAN, new byte[] {7});
    private final ForwardedRequest request = new ForwardedRequest(new Identity("a", 1, 1));

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
        assertEquals(Next.RECORD_INTENT, request.begin());
        assertEquals(Next.SEND, request.intentRecorded());
    }

    @Test void withoutAnIntentItNeverRan() {
        request.begin();
        assertEquals(Next.NEVER_RAN, request.intentFailed());
    }

    @Test void aLinkThatBreaksBeforeTheLastByteProvesThatItNeverRan() {
        send();
        assertEquals(Next.NEVER_RAN, request.linkBroken());
    }

    @Test void aLinkThatBreaksAfterTheLastByteLeavesTheOutcomeUnknown() {
        loseOutcome();

        assertTrue(request.isOutcomeUnknown());
        assertFalse(request.isEnded());
    }

    @Test void anUnknownOutcomeIsQueriedOnce() {
        loseOutcome();

        assertEquals(Next.QUERY, request.query());
        assertEquals(Next.WAIT, request.query());
    }

    @Test void aQueryIsRepeatedAfterTheNextLinkBreaks() {
        loseOutcome();
        request.query();

        request.linkBroken();

        assertEquals(Next.QUERY, request.query());
    }

    @Test void aQueryIsRepeatedWhileTheRequestRuns() {
        loseOutcome();
        request.query();

        assertEquals(Next.WAIT, request.responseReceived(OutcomeResponse.RUNNING));

        assertEquals(Next.QUERY, request.query());
    }

    @Test void aResponseEndsItWithItsOutcome() {
        send();
        request.lastByteWritten();

        assertEquals(Next.RAN, request.responseReceived(RAN));

        assertTrue(request.isEnded());
        assertArrayEquals(new byte[] {7}, request.outcome());
    }

    @Test void theRemoteSitesProofThatItNeverRanEndsIt() {
        loseOutcome();
        request.query();
        assertEquals(Next.NEVER_RAN, request.responseReceived(OutcomeResponse.NEVER_RAN));
    }

    @Test void anOutcomeThatNobodyKnowsEndsItAsMayHaveRun() {
        loseOutcome();
        request.query();
        assertEquals(Next.MAY_HAVE_RUN, request.responseReceived(OutcomeResponse.UNKNOWN));
    }

    @Test void givenUpBeforeTheLastByteItNeverRan() {
        send();
        assertEquals(Next.NEVER_RAN, request.giveUp());
    }

    @Test void givenUpAfterTheLastByteItMayHaveRun() {
        send();
        request.lastByteWritten();
        assertEquals(Next.MAY_HAVE_RUN, request.giveUp());
    }

    @Test void anEndIsNotChangedByLaterEvents() {
        send();
        request.lastByteWritten();
        request.giveUp();

        assertEquals(Next.MAY_HAVE_RUN, request.responseReceived(RAN));
        assertEquals(Next.MAY_HAVE_RUN, request.linkBroken());
        assertEquals(Next.MAY_HAVE_RUN, request.query());
    }
}
