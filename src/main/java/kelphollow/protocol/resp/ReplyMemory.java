package kelphollow.protocol.resp;

import kelphollow.transport.ClientMemory;

/**
 * The bytes of one connection's replies that cannot be written yet. Without a bound, the replies behind one that takes
 * seconds fill the heap, and the direct memory once they are written. Confined to the event loop.
 */
final class ReplyMemory {
    private final ClientMemory shared;
    private long heldBytes;

    /** {@code shared}: the bound for all connections of the front. */
    ReplyMemory(ClientMemory shared) {
        this.shared = shared;
    }

    /** Counts a reply's bytes until they are {@link #release released}; returns false if they do not fit. */
    boolean tryHold(int bytes) {
        if (!shared.tryAdd(bytes)) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** A reply's bytes are free again. */
    void release(int bytes) {
        shared.release(bytes);
        heldBytes -= bytes;
    }

    /**
     * Whether a request may be forwarded whose reply will have to be held: only while the connection holds less than is
     * free (a dynamic threshold), so that the replies of requests in flight and of other connections find room.
     */
    boolean hasRoom() {
        return shared.hasRoomFor(heldBytes);
    }
}
