package kelphollow.store;

/** Why the store did not do what it was asked. Its message names the file, and what was found and wanted. */
public final class StoreFault extends Exception {
    private static final long serialVersionUID = 1;

    /** What kind of fault it is, and what follows from it. */
    public enum Kind {
        /** The queue is full: nothing was written, it may be tried again. */
        BUSY,
        /** The batch is larger than the store takes: nothing was written. */
        TOO_LARGE,
        /** The disk failed. What was under way may or may not be found after the next opening; later calls fail too. */
        DISK,
        /** The store has been closed. */
        CLOSED,
        /** The same record is damaged in both copies; only the operator's word accepts the loss. */
        DAMAGED,
        /** Another process holds the store. */
        LOCKED,
        /** The folder or a file in it is not this store's; nothing of it was touched. */
        FOREIGN,
        /** A file is of a format that this program does not know. */
        VERSION
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

    public Kind kind() {
        return kind;
    }
}
