package kelphollow.store;

/** Why the store did not do what it was asked. Its message names the file, what was found and what is wanted. */
public final class StoreFault extends Exception {
    private static final long serialVersionUID = 1;

    /** What kind of fault it is, and what follows from it. */
    public enum Kind {
        /** The queue is full: nothing was written, and the write may be retried. */
        QUEUE_FULL,
        /** The batch is larger than the store accepts: nothing was written. */
        BATCH_TOO_LARGE,
        /** The disk failed. What was in progress may or may not be found after the next opening; later calls fail too. */
        IO_FAILURE,
        /** The store was closed. */
        CLOSED,
        /** A record is damaged in both copies; only the operator can accept the loss. */
        DAMAGED,
        /** Another process holds the store. */
        LOCKED,
        /** The folder or a file in it is not this store's; nothing was touched. */
        FOREIGN_FILES,
        /** A file is of a format that this program does not know. */
        UNSUPPORTED_VERSION
    }

    private final Kind kind;

    StoreFault(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    StoreFault(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** What kind of fault it is. */
    public Kind kind() {
        return kind;
    }
}
