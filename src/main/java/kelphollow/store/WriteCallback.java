package kelphollow.store;

/** Receives the result of one write, once, on the executor that was passed with it. */
public interface WriteCallback {
    /** Called with null when the requested {@link Durability} is reached, else with the fault: then nothing is promised. */
    void completed(StoreFault fault);
}
