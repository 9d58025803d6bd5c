package kelphollow.routing;

/** The clock and the timers of one event loop. Times are Unix milliseconds that never run backwards. */
public interface Ticker {
    /** The clock time now. */
    double now();

    /** Runs the task on the event loop, no sooner than after so many milliseconds and within a tick of that. */
    Timeout after(double millis, Runnable task);

    /** A task that is still to run. */
    interface Timeout {
        /** The task does not run any more; no effect if it has run. */
        void cancel();
    }
}
