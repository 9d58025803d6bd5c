package kelphollow.protocol.object;

/**
 * The outcome of forwarding a part, for all clients that wait for it.
 *
 * @param content the stored content, or null
 * @param etag the entity tag from the node, or null
 * @param error the error that the waiting clients get, or null if the part is stored
 */
record PartOutcome(PartContent content, String etag, S3Error error) {
    /** Notified once, when the forwarding has ended. */
    interface Listener {
        void ended(PartOutcome outcome);
    }

    static PartOutcome stored(PartContent content, String etag) {
        return new PartOutcome(content, etag, null);
    }

    static PartOutcome failed(S3Error error) {
        return new PartOutcome(null, null, error);
    }
}
