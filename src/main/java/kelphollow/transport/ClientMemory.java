package kelphollow.transport;

/**
 * Bounds the memory that all clients of a front hold together with requests that are incomplete or wait to be forwarded.
 * Without it, clients that stop in the middle of a request use up the JVM's buffers, and the event loop stands still in
 * their allocation. What is counted lies on the heap, in arrays of its own size: receive buffers return to their pool after
 * each read. Both fronts take their bounds from here. Confined to the event loop.
 */
public final class ClientMemory {
    /** Clients may hold one in this many bytes of the heap. */
    private static final long HEAP_PER_CAPACITY = 4;
    /** One client may hold one in this many bytes of the capacity ahead of demand. */
    private static final long CAPACITY_PER_CLIENT = 16;

    private final long capacity;
    private long held;

    /** {@code capacity}: bytes that all clients may hold together. */
    public ClientMemory(long capacity) {
        this.capacity = capacity;
    }

    /** Returns the bound that this JVM's heap allows. */
    public static ClientMemory ofHeap() {
        return new ClientMemory(Runtime.getRuntime().maxMemory() / HEAP_PER_CAPACITY);
    }

    /** Returns a separate bound of half the capacity, for a front that holds bytes for two purposes. */
    public ClientMemory half() {
        return new ClientMemory(capacity / 2);
    }

    /** Counts bytes that have arrived and are held in any case; {@link #isExceeded} tells if they are too many. */
    public void add(long bytes) {
        held += bytes;
    }

    /** Counts the bytes and returns true if they fit, else returns false and counts nothing. */
    public boolean tryAdd(long bytes) {
        if (held + bytes > capacity) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** The bytes are no longer held. */
    public void release(long bytes) {
        held -= bytes;
    }

    /** Bytes held now. */
    public long held() {
        return held;
    }

    /** Whether the clients hold more than the capacity. */
    public boolean isExceeded() {
        return held > capacity;
    }

    /** Whether a client that holds {@code heldByClient} bytes ahead of demand may be read further. */
    public boolean mayReadAhead(long heldByClient) {
        return held < capacity && heldByClient < capacity / CAPACITY_PER_CLIENT;
    }
}
