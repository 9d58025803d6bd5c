package kelphollow.recovery;

/**
 * Derives from the records read after a start whether each operation was executed, was not executed, or is unknown.
 * Immutable; times are Unix milliseconds of the gateway's own clock.
 *
 * <p>A recorded outcome holds, whichever epoch wrote it. An intent without an outcome was in flight when its epoch ended.
 * Its connection closed at the latest when that process died, before this one opened the store, but the node may still
 * execute what it had received for the settle time. A missing record proves that an operation was not
 * executed only if the records are complete: they are complete for operations begun while they were kept, unless the store
 * has lost some since or has dropped them after their window.
 */
public final class RecoveredOutcomes {
    /** The record that the store holds of one operation. */
    public enum StoredRecord {
        /** No record. */
        NONE,
        /** An intent without an outcome. */
        INTENT,
        /** An outcome. */
        OUTCOME
    }

    private final long epoch;
    private final double startedAt;
    private final double settleTime;
    private final long lostUpTo;

    /**
     * Creates the rules for one epoch.
     *
     * @param epoch the epoch of this process; each start has a higher one
     * @param startedAt clock time at which this epoch began
     * @param settleTime milliseconds after the end of an epoch in which its last attempts may take effect
     * @param lostUpTo the last epoch of which the store may have lost records; 0: none
     */
    public RecoveredOutcomes(long epoch, double startedAt, double settleTime, long lostUpTo) {
        this.epoch = epoch;
        this.startedAt = startedAt;
        this.settleTime = settleTime;
        this.lostUpTo = lostUpTo;
    }

    /**
     * Returns what is known of one operation.
     *
     * @param found the record found in the store
     * @param foundEpoch the epoch that wrote the record; if there is none, the epoch since which it would have been written
     * @param complete whether every operation of this kind sent since that epoch is recorded, and no record was dropped
     */
    public RecoveredOutcome classify(StoredRecord found, long foundEpoch, boolean complete) {
        return switch (found) {
            case OUTCOME -> RecoveredOutcome.RAN;
            case INTENT -> foundEpoch == epoch ? RecoveredOutcome.RUNNING : unknown();
            case NONE -> complete && foundEpoch > lostUpTo ? RecoveredOutcome.NEVER_RAN : unknown();
        };
    }

    private RecoveredOutcome unknown() {
        return RecoveredOutcome.unknown(startedAt + settleTime);
    }

    /**
     * Whether an unknown outcome can be settled by asking the node now: what the node does not have by now will not arrive
     * any more.
     */
    public static boolean isSettled(RecoveredOutcome outcome, double now) {
        return outcome.kind() != RecoveredOutcome.Kind.UNKNOWN || now >= outcome.settledAt();
    }
}
