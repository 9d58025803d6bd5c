package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import kelphollow.decision.ControlAction.SetTimer;
import org.junit.jupiter.api.Test;

/** When the module wants to be woken; a tick is 1 ms. */
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

    @Test void queuedRequestsAreSweptOftenAndNothingElseIsKept() {
        PendingRequest request = harness.queue(harness.request("r", ControlHarness.READ, "v", 1, 0));

        assertEquals(at(harness.now() + 10), set(NEVER));
        state.queues.of(request).remove(request);
        harness.advance(10);
        timer.fired();

        assertEquals(List.of(), set(NEVER));
    }

    @Test void theEarliestOfPollAndDeadlineCounts() {
        state.deadlines.add(harness.now() + 70, harness.request("r", ControlHarness.READ, "v", 1, 0));

        assertEquals(at(harness.now() + 70), set(harness.now() + 90));
        assertEquals(List.of(), set(harness.now() + 80), "the timer that is set comes first");
        assertEquals(at(harness.now() + 60), set(harness.now() + 60));
    }

    @Test void itIsSetAtLeastATickAhead() {
        assertEquals(at(harness.now() + 1), set(harness.now() - 5));
    }

    @Test void aTimerThatFiresUpToATickEarlyIsSetAgain() {
        double due = harness.now() + 50;
        set(due);
        harness.advance(48.9);
        timer.fired();
        assertEquals(List.of(), set(due), "too early: the timer is still to come");

        harness.advance(0.2);
        timer.fired();

        assertEquals(at(harness.now() + 1), set(due));
    }
}
