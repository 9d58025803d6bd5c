package kelphollow.store;

/** Receives the result of one write, once, on the executor that was passed with it. */
public interface WriteCallback {
    /** Called with null once the requested {@link Durability} is reached, else with a fault: then nothing is guaranteed. */
    void completed(StoreFault fault);
}
