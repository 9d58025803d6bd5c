package kelphollow.ledger;

import java.io.IOException;
import java.util.function.Consumer;
import kelphollow.recovery.RecoveredOutcome;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/**
 * Records of the outcomes of unsafe requests between sites, by an identity that the requesting side assigns and never
 * reuses. Kept for the class's idempotency window after the outcome. Records are written on the event loop; {@link #find}
 * may block on the disk.
 */
public final class OutcomeRecords {
    private final Ledger ledger;

    /** The recovered outcome of one request; {@code outcome} is null unless it ran. */
    public record Known(RecoveredOutcome recovered, String outcome) {}

    OutcomeRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /**
     * Records that a request may be sent; {@code then} receives null on the event loop once the record is synced.
     *
     * @param window how long the record is kept, in milliseconds
     */
    public void recordIntent(String identity, double now, double window, Consumer<StoreFault> then) {
        byte[] intent = RecordCodec.encode(json -> json.writeNumberField(StoredNames.EPOCH, ledger.epoch()));
        ledger.writeSynced(
            new Batch().put(StoredNames.OUTCOMES, RecordCodec.key(identity), intent, (long) (now + window)), then);
    }

    /** Records the outcome; {@code then} receives null on the event loop once the record is synced. */
    public void recordOutcome(String identity, String outcome, double now, double window, Consumer<StoreFault> then) {
        byte[] stored = RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.EPOCH, ledger.epoch());
            RecordCodec.writeOptional(json, StoredNames.OUTCOME, outcome);
        });
        ledger.writeSynced(
            new Batch().put(StoredNames.OUTCOMES, RecordCodec.key(identity), stored, (long) (now + window)), then);
    }

    /** Removes the record of a request that provably never ran. */
    public void removeIntent(String identity) {
        ledger.writeBuffered(new Batch().remove(StoredNames.OUTCOMES, RecordCodec.key(identity)));
    }

    /**
     * Returns the outcome of a request as far as it can be recovered.
     *
     * @param complete whether the request is younger than the window and can only have been sent to this gateway
     */
    public Known find(String identity, RecoveredOutcomes recovered, boolean complete) throws IOException, StoreFault {
        byte[] value = ledger.store().get(StoredNames.OUTCOMES, RecordCodec.key(identity));
        if (value == null) {
            return new Known(recovered.classify(RecoveredOutcomes.StoredRecord.NONE, 0, complete), null);
        }
        StoredRecord stored = RecordCodec.decode(value);
        String outcome = stored.text(StoredNames.OUTCOME);
        RecoveredOutcomes.StoredRecord found =
            outcome == null ? RecoveredOutcomes.StoredRecord.INTENT : RecoveredOutcomes.StoredRecord.OUTCOME;
        return new Known(recovered.classify(found, stored.integer(StoredNames.EPOCH), complete), outcome);
    }
}
