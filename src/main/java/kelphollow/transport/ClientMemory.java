package kelphollow.transport;

/**
 * Bounds the memory that all clients of a front occupy together with requests that are incomplete or wait to be forwarded,
 * and with replies that wait to be sent. Without it, clients that stop in the middle of a request use up the JVM's buffers,
 * and the event loop stands still in their allocation. What is counted lies on the heap, in arrays of its own size: receive
 * buffers return to their pool after each read. Both fronts take their bounds from here. Confined to the event loop.
 */
public final class ClientMemory {
    /** Clients may occupy one in this many bytes of the heap. */
    private static final long HEAP_PER_CAPACITY = 4;
    /** One client may occupy one in this many bytes of the capacity ahead of demand. */
    private static final long CAPACITY_PER_CLIENT = 16;

    private static final int BYTES_PER_KIB = 1024;

    private final long capacity;
    private long occupied;

    /** {@code capacity}: bytes that all clients may occupy together. */
    public ClientMemory(long capacity) {
        this.capacity = capacity;
    }

    /** Returns the bound that this JVM's heap allows. */
    public static ClientMemory ofHeap() {
        return new ClientMemory(Runtime.getRuntime().maxMemory() / HEAP_PER_CAPACITY);
    }

    /** Returns a separate bound of half the capacity, for a front that counts bytes for two purposes. */
    public ClientMemory half() {
        return new ClientMemory(capacity / 2);
    }

    /** Counts bytes that have arrived and cannot be refused any more; {@link #isExceeded} tells if they are too many. */
    public void add(long bytes) {
        occupied += bytes;
    }

    /** Counts the bytes and returns true if they fit, else returns false and counts nothing. */
    public boolean tryAdd(long bytes) {
        if (occupied + bytes > capacity) {
            return false;
        }
        occupied += bytes;
        return true;
    }

    /** The bytes are free again. */
    public void release(long bytes) {
        occupied -= bytes;
    }

    /** Whether the clients occupy more than the capacity. */
    public boolean isExceeded() {
        return occupied > capacity;
    }

    /** What the clients occupy and may occupy, for the log. */
    @Override public String toString() {
        return occupied / BYTES_PER_KIB + " of " + capacity / BYTES_PER_KIB + " KiB";
    }

    /** Whether a client that occupies {@code ownBytes} may occupy more: not if that is as much as is free for all. */
    public boolean hasRoomFor(long ownBytes) {
        return ownBytes < capacity - occupied;
    }

    /** Whether a client that occupies {@code queuedBytes} bytes ahead of demand occupies less than any client may. */
    public boolean isWithinShare(long queuedBytes) {
        return occupied < capacity && queuedBytes < capacity / CAPACITY_PER_CLIENT;
    }

    /** Whether a client that occupies {@code queuedBytes} bytes ahead of demand may be read further. */
    public boolean mayReadAhead(long queuedBytes) {
        return isWithinShare(queuedBytes) || hasRoomFor(queuedBytes);
    }
}
