package kelphollow.recovery;

/**
 * What is known of one non-idempotent piece of work from the records that were found. The intent is recorded before
 * the first byte is sent and the outcome after it, so that nothing is sent without a trace.
 *
 * @param kind what is known
 * @param settledAt from this time on no attempt of an earlier process can still take effect, in milliseconds on the clock
 *     of {@link RecoveredOutcomes}; only for {@link Kind#UNKNOWN}
 */
public record RecoveredOutcome(Kind kind, double settledAt) {
    /** What is known. */
    public enum Kind {
        /** It was executed, and its outcome is recorded: answer from the record, never send. */
        RAN,
        /** It is proved never to have been executed: it may be sent. */
        NEVER_RAN,
        /** It may have been executed, or may yet be: ask the node, and never send it unasked. */
        UNKNOWN,
        /** It is in flight, sent by this process. */
        RUNNING
    }

    static final RecoveredOutcome RAN = new RecoveredOutcome(Kind.RAN, 0);
    static final RecoveredOutcome NEVER_RAN = new RecoveredOutcome(Kind.NEVER_RAN, 0);
    static final RecoveredOutcome RUNNING = new RecoveredOutcome(Kind.RUNNING, 0);

    static RecoveredOutcome unknown(double settledAt) {
        return new RecoveredOutcome(Kind.UNKNOWN, settledAt);
    }
}
