package kelphollow.store;

/** Hears once how a write ended, on the executor that was given with it. */
public interface Ack {
    /** {@code fault} is null when the grade asked for is reached; otherwise nothing was promised. */
    void done(StoreFault fault);
}
