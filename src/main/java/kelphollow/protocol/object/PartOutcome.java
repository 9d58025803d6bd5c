package kelphollow.protocol.object;

/**
 * How forwarding a part ended, for all that wait for it.
 *
 * @param content what was stored, or null
 * @param etag its entity tag as the node gave it, or null
 * @param error what the others get too, or null if the part is stored
 */
record PartOutcome(PartContent content, String etag, S3Error error) {
    /** Hears the outcome of the forwarding that it waits for, once. */
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
