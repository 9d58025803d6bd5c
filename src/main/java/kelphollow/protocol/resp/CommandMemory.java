package kelphollow.protocol.resp;

/**
 * The bytes that one connection's commands occupy: first as an incomplete command, then as an accepted one until its reply.
 * The two have separate bounds, so that clients with incomplete commands cannot keep complete ones out. Confined to the
 * event loop.
 */
final class CommandMemory {
    private final FrontMemory bounds;
    private final Runnable whenReceived;
    private int incompleteBytes;

    /** {@code whenReceived} runs after bytes of an incomplete command have been counted. */
    CommandMemory(FrontMemory bounds, Runnable whenReceived) {
        this.bounds = bounds;
        this.whenReceived = whenReceived;
    }

    /** Counts bytes of the incomplete command. */
    void received(int bytes) {
        if (bytes > 0) {
            incompleteBytes += bytes;
            bounds.incompleteCommands().add(bytes);
            whenReceived.run();
        }
    }

    /** The incomplete command is complete or discarded. Returns the bytes that it occupied. */
    int endIncomplete() {
        int bytes = incompleteBytes;
        incompleteBytes = 0;
        bounds.incompleteCommands().release(bytes);
        return bytes;
    }

    /** Counts an accepted command's bytes until they are {@link #release released}; returns false if they do not fit. */
    boolean accept(int bytes) {
        return bounds.acceptedCommands().tryAdd(bytes);
    }

    /** An accepted command's bytes are free again. */
    void release(int bytes) {
        bounds.acceptedCommands().release(bytes);
    }
}
