package kelphollow.decision;

import kelphollow.decision.ControlAction.SetTimer;

/** The single timer of the decision module. Times are milliseconds. */
final class WakeTimer {
    /** Interval at which queued requests are reconsidered if no other event occurs. */
    private static final double SWEEP_INTERVAL_MS = 10;
    private static final String NAME = "wake";

    private final SchedulerState state;
    /** Time for which the timer is set; infinite if it is not set. */
    private double scheduledAt = Double.POSITIVE_INFINITY;

    WakeTimer(SchedulerState state) {
        this.state = state;
    }

    /** Handles a timer that fired, up to one tick early, since the host's clock may round. */
    void fired() {
        if (state.now() >= scheduledAt - state.context.tick()) {
            scheduledAt = Double.POSITIVE_INFINITY;
        }
    }

    /** Sets the timer if anything is due before the time for which it is set. */
    void set(double pollDueAt) {
        double now = state.now();
        double next = pollDueAt;
        state.queues.removeEmpty();
        if (!state.queues.isEmpty()) {
            next = Math.min(next, now + SWEEP_INTERVAL_MS);
        }
        next = Math.min(next, state.deadlines.nextAt());
        if (next < scheduledAt) {
            scheduledAt = Math.max(next, now + state.context.tick());
            state.actions.add(new SetTimer(scheduledAt, NAME));
        }
    }
}
