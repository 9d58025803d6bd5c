package kelphollow.decision;

import kelphollow.decision.ControlAction.SetTimer;

/** The one timer that the module sets for itself. Times are milliseconds. */
final class WakeTimer {
    /** How often queued requests are looked at when nothing else happens. */
    private static final double SWEEP_INTERVAL_MS = 10;
    private static final String NAME = "wake";

    private final SchedulerState state;
    private double setTo = Double.POSITIVE_INFINITY;

    WakeTimer(SchedulerState state) {
        this.state = state;
    }

    /** A timer has fired; a host's clock that rounds may be a little early. */
    void fired() {
        if (state.now() >= setTo - state.context.tick()) {
            setTo = Double.POSITIVE_INFINITY;
        }
    }

    /** Sets the timer where something is due before the time that it is set to. */
    void set(double pollDueAt) {
        double now = state.now();
        double next = pollDueAt;
        state.queues.removeEmpty();
        if (!state.queues.isEmpty()) {
            next = Math.min(next, now + SWEEP_INTERVAL_MS);
        }
        next = Math.min(next, state.deadlines.nextAt());
        if (next < setTo) {
            setTo = Math.max(next, now + state.context.tick());
            state.actions.add(new SetTimer(setTo, NAME));
        }
    }
}
