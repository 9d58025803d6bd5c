package kelphollow.protocol.resp;

import kelphollow.transport.ClientMemory;

/**
 * The bytes that one connection's commands occupy: first as an incomplete command, then as an accepted one until its reply.
 * The two have separate bounds, so that clients with incomplete commands cannot keep complete ones out. Confined to the
 * event loop.
 */
final class CommandMemory {
    /** The bounds that all connections of a front share. */
    record Bounds(ClientMemory incomplete, ClientMemory accepted) {
        static Bounds of(ClientMemory memory) {
            return new Bounds(memory.half(), memory.half());
        }
    }

    private final Bounds bounds;
    private final Runnable whenReceived;
    private int incompleteBytes;

    /** {@code whenReceived} runs after bytes of an incomplete command have been counted. */
    CommandMemory(Bounds bounds, Runnable whenReceived) {
        this.bounds = bounds;
        this.whenReceived = whenReceived;
    }

    /** Counts bytes of the incomplete command. */
    void received(int bytes) {
        if (bytes > 0) {
            incompleteBytes += bytes;
            bounds.incomplete().add(bytes);
            whenReceived.run();
        }
    }

    /** The incomplete command is complete or discarded. Returns the bytes that it occupied. */
    int endIncomplete() {
        int bytes = incompleteBytes;
        incompleteBytes = 0;
        bounds.incomplete().release(bytes);
        return bytes;
    }

    /** Counts an accepted command's bytes until they are {@link #release released}; returns false if they do not fit. */
    boolean accept(int bytes) {
        return bounds.accepted().tryAdd(bytes);
    }

    /** An accepted command's bytes are free again. */
    void release(int bytes) {
        bounds.accepted().release(bytes);
    }
}
