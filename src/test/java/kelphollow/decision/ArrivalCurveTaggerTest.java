package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tags with an arrival curve of rate 10 units per second and depth 10 units; a read's latency objective is 300 ms. */
class ArrivalCurveTaggerTest {
    private static final double MS_PER_UNIT = 100;

    private final StateHarness harness = new StateHarness();

    private PendingRequest tag(String id, String volume, double units) {
        PendingRequest request = harness.request(id, ControlHarness.READ, volume, units, 0);
        return harness.queue(request);
    }

    @Test void requestWithinCurveStartsNowAndFinishesAfterItsObjective() {
        PendingRequest request = tag("r", "v", 4);

        assertEquals(harness.now(), request.startTag);
        assertEquals(harness.now() + 300, request.finishTag);
        assertEquals(6, request.volume.numTokens);
        assertEquals(request.startTag, request.volume.minS);
    }

    @Test void startTagsBeyondCurveAreSpacedByUnits() {
        tag("burst", "v", 10);

        PendingRequest first = tag("first", "v", 2);
        PendingRequest second = tag("second", "v", 3);

        assertEquals(harness.now(), first.startTag, "MaxS is now");
        assertEquals(first.startTag + 2 * MS_PER_UNIT, second.startTag);
        assertEquals(second.startTag + 3 * MS_PER_UNIT, second.volume.maxS);
    }

    @Test void tokensAccrueUpToCurveDepth() {
        PendingRequest burst = tag("burst", "v", 10);
        harness.advance(300);
        tag("early", "v", 1);
        assertEquals(2, burst.volume.numTokens, 1e-9);

        harness.advance(60_000);
        tag("late", "v", 1);

        assertEquals(9, burst.volume.numTokens, 1e-9);
    }

    @Test void tagsShiftBackWhenMinSOfAllBackloggedVolumesIsInTheFuture() {
        tag("burst", "v", 10);
        PendingRequest first = tag("first", "v", 2);
        PendingRequest second = tag("second", "v", 3);
        for (PendingRequest request : List.copyOf(first.volume.tagged)) {
            if (request != second) {
                harness.state.queues.of(request).remove(request);
                harness.state.tagger.sent(request);
            }
        }
        first.volume.minS = second.startTag;

        tag("other", "w", 1);

        assertEquals(harness.now(), second.startTag, "shifted back by the difference of 200 ms");
        assertEquals(harness.now() + 300, second.finishTag);
        assertEquals(harness.now() + 3 * MS_PER_UNIT, second.volume.maxS);
    }

    @Test void tagsDoNotShiftWhileABackloggedVolumeIsWithinItsCurve() {
        tag("burst", "v", 10);
        tag("first", "v", 2);
        PendingRequest second = tag("second", "v", 3);
        tag("conforming", "w", 1);
        double startTag = second.startTag;

        tag("other", "x", 1);

        assertEquals(startTag, second.startTag);
    }

    @Test void returnedTokensMoveLaterStartTagsEarlierButNotBeforeArrival() {
        tag("burst", "v", 10);
        PendingRequest first = tag("first", "v", 2);
        PendingRequest second = tag("second", "v", 3);
        PendingRequest third = tag("third", "v", 1);
        harness.state.queues.of(first).remove(first);

        harness.state.tagger.returnTokens(first);

        assertEquals(harness.now(), second.startTag);
        assertEquals(harness.now() + 3 * MS_PER_UNIT, third.startTag);
        assertEquals(harness.now() + 4 * MS_PER_UNIT, third.volume.maxS);
        assertEquals(-4, third.volume.numTokens, "depth of 10 units less 14 units still tagged");
        assertEquals(3, harness.state.queues.ofCell(0).size(), "requests whose tags move stay queued");
    }

    @Test void tokensAreReturnedOnce() {
        PendingRequest request = tag("r", "v", 4);
        harness.state.queues.of(request).remove(request);

        harness.state.tagger.returnTokens(request);
        harness.state.tagger.returnTokens(request);

        assertFalse(request.tokensSpent);
        assertEquals(10, request.volume.numTokens);
    }

    @Test void sendingARequestRaisesMinSUnlessItIsLate() {
        PendingRequest first = tag("first", "v", 10);
        tag("second", "v", 2);
        PendingRequest third = tag("third", "v", 2);
        third.late = true;

        harness.state.tagger.sent(third);
        assertEquals(first.startTag, first.volume.minS);
        third.late = false;
        harness.state.tagger.requeued(third);
        harness.state.tagger.sent(third);

        assertEquals(third.startTag, first.volume.minS);
    }
}
