package kelphollow.store;

/**
 * The store rejected an operation, or failed while it ran. The message names the file concerned, what was found and what was
 * expected.
 */
public final class StoreFault extends Exception {
    private static final long serialVersionUID = 1;

    /** Kinds of faults, with what they mean for the caller. */
    public enum Kind {
        /** The queue is full: nothing was written, and the write may be retried. */
        QUEUE_FULL,
        /** The batch is larger than the store accepts: nothing was written. */
        BATCH_TOO_LARGE,
        /** An I/O error. Writes in progress may or may not exist after the next opening; all later writes fail too. */
        IO_FAILURE,
        /** The store was closed. */
        CLOSED,
        /** An acknowledged record is damaged in both copies; only the operator can accept the loss. */
        DAMAGED,
        /** Another process has locked the store. */
        LOCKED,
        /** The folder or a file in it does not belong to this store; nothing was changed. */
        FOREIGN_FILES,
        /** A file has an unsupported format version. */
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

    /** The kind of the fault. */
    public Kind kind() {
        return kind;
    }
}
