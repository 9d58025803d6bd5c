package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import kelphollow.decision.ControlAction.SetTimer;
import org.junit.jupiter.api.Test;

/** Times for which the module sets its timer; a tick is 1 ms. */
class WakeTimerTest {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final StateHarness harness = new StateHarness();
    private final SchedulerState state = harness.state;
    private final WakeTimer timer = new WakeTimer(state);

    private List<ControlAction> set(double pollDueAt) {
        timer.set(pollDueAt);
        return state.actions.drain();
    }

    private static List<ControlAction> at(double time) {
        return List.of(new SetTimer(time, "wake"));
    }

    @Test void nothingDueSetsNoTimer() {
        assertEquals(List.of(), set(NEVER));
    }

    @Test void theTimerSweepsQueuedRequestsAndStopsOnceNoneAreLeft() {
        PendingRequest request = harness.queue(harness.request("r", ControlHarness.READ, "v", 1, 0));

        assertEquals(at(harness.now() + 10), set(NEVER));
        state.queues.of(request).remove(request);
        harness.advance(10);
        timer.fired();

        assertEquals(List.of(), set(NEVER));
    }

    @Test void theTimerIsSetForTheEarliestPollOrDeadline() {
        state.deadlines.add(harness.now() + 70, harness.request("r", ControlHarness.READ, "v", 1, 0));

        assertEquals(at(harness.now() + 70), set(harness.now() + 90));
        assertEquals(List.of(), set(harness.now() + 80), "the timer is already set for an earlier time");
        assertEquals(at(harness.now() + 60), set(harness.now() + 60));
    }

    @Test void theTimerIsSetAtLeastOneTickAhead() {
        assertEquals(at(harness.now() + 1), set(harness.now() - 5));
    }

    @Test void aTimerThatFiresUpToOneTickEarlyCountsAsFired() {
        double due = harness.now() + 50;
        set(due);
        harness.advance(48.9);
        timer.fired();
        assertEquals(List.of(), set(due), "more than one tick early: the timer still counts as set");

        harness.advance(0.2);
        timer.fired();

        assertEquals(at(harness.now() + 1), set(due));
    }
}
