package kelphollow.routing;

/** The clock and the timers of one event loop. Times are Unix milliseconds that never go backwards. */
public interface Ticker {
    /** The clock time now. */
    double now();

    /** Runs the task on the event loop after at least this many milliseconds, at most one tick later. */
    Timeout after(double millis, Runnable task);

    /** A scheduled task. */
    interface Timeout {
        /** Cancels the task; no effect if it has run. */
        void cancel();
    }
}
