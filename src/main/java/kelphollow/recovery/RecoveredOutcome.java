package kelphollow.recovery;

/**
 * What the stored records tell about one non-idempotent operation. The intent is recorded before the first byte is sent and
 * the outcome after it, so that nothing is sent without a record.
 *
 * @param kind what is known
 * @param settledAt time from which no attempt of an earlier process can still take effect, in milliseconds on the clock of
 *     {@link RecoveredOutcomes}; only for {@link Kind#UNKNOWN}
 */
public record RecoveredOutcome(Kind kind, double settledAt) {
    /** Whether the operation was executed. */
    public enum Kind {
        /** It was executed and its outcome is recorded: respond from the record, never send it. */
        RAN,
        /** It was certainly not executed: it may be sent. */
        NEVER_RAN,
        /** It may have been executed, or may yet be: ask the node first, never send it without asking. */
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
