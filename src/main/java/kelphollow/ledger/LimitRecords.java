package kelphollow.ledger;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import kelphollow.recovery.LimitRecovery;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/** Records of the tokens of volumes' limits at the end of the gateway's last run. Event loop only. */
public final class LimitRecords {
    /** Every limit has refilled after this time. */
    private static final long TIME_TO_LIVE_MS = 24L * 3600 * 1000;

    private final Ledger ledger;

    LimitRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /**
     * Returns the tokens of the last run by volume and removes their records, so that a crash in this run is
     * not mistaken for the clean end of the last one. Blocks on the disk, so it may only be called before the event loop
     * serves.
     */
    public Map<String, LimitRecovery.Saved> take() throws IOException, StoreFault {
        Map<String, LimitRecovery.Saved> saved = new HashMap<>();
        Batch removals = new Batch();
        ledger.read(StoredNames.LIMITS, (volume, stored) -> {
            boolean clean = stored.number(StoredNames.END_OF_EPOCH) == ledger.epoch() - 1;
            saved.put(volume, new LimitRecovery.Saved(stored.number(StoredNames.TOKENS), stored.number(StoredNames.AT),
                clean));
            removals.remove(StoredNames.LIMITS, RecordCodec.key(volume));
        });
        if (!removals.isEmpty()) {
            ledger.writeBuffered(removals);
        }
        return saved;
    }

    /** Records the tokens by volume at the end of this run, after its last request was sent. */
    public void recordFinalTokens(Map<String, Double> tokensByVolume, double now) {
        Batch batch = new Batch();
        tokensByVolume.forEach((volume, tokens) -> batch.put(StoredNames.LIMITS, RecordCodec.key(volume),
            encode(tokens, now), (long) now + TIME_TO_LIVE_MS));
        if (!batch.isEmpty()) {
            ledger.writeBuffered(batch);
        }
    }

    private byte[] encode(double tokens, double now) {
        return RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.END_OF_EPOCH, ledger.epoch());
            json.writeNumberField(StoredNames.TOKENS, tokens);
            json.writeNumberField(StoredNames.AT, now);
        });
    }
}
