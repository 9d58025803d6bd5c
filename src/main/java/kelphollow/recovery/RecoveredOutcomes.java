package kelphollow.recovery;

/**
 * Derives from the records read after a start which work was executed, was not executed, or is unknown. Immutable;
 * times are Unix milliseconds of the gateway's own clock.
 *
 * <p>The rules. A recorded outcome holds, whichever epoch wrote it. An intent without one was in flight when its
 * epoch ended; its connection closed at the latest when that process died, before this one opened the store, but the
 * node may still work on what it had been given for as long as the deadline of its class. Where nothing is recorded,
 * only a complete record proves anything: it is complete for what was begun under it, unless the store lost something
 * since or had forgotten it after its window.
 */
public final class RecoveredOutcomes {
    /** What the store holds on one piece of work. */
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
     * The rules for one epoch.
     *
     * @param epoch of this process; each start has a higher one
     * @param startedAt when this epoch began
     * @param settleTime milliseconds after the end of an epoch for which its last attempts may take effect: the deadline
     *     of the class
     * @param lostUpTo the last epoch of which the store may have lost something; 0: none
     */
    public RecoveredOutcomes(long epoch, double startedAt, double settleTime, long lostUpTo) {
        this.epoch = epoch;
        this.startedAt = startedAt;
        this.settleTime = settleTime;
        this.lostUpTo = lostUpTo;
    }

    /**
     * What is known of one piece of work.
     *
     * @param foundEpoch the epoch that wrote the record found; if there is none, the one since which it would be there
     * @param complete whether everything of this kind that was sent since is recorded, and none of it forgotten
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
     * Whether what is unknown can by now be settled by asking the node: what it does not have then will not come any
     * more.
     */
    public static boolean isSettled(RecoveredOutcome outcome, double now) {
        return outcome.kind() != RecoveredOutcome.Kind.UNKNOWN || now >= outcome.settledAt();
    }
}
