package kelphollow.ledger;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import kelphollow.recovery.LimitRecovery;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/** The tokens of volumes' limits, as they were at the end of the last incarnation. Event loop only. */
public final class LimitRecords {
    /** Every limit has refilled after this long, in milliseconds. */
    private static final long TIME_TO_LIVE = 24L * 3600 * 1000;

    private final Ledger ledger;

    LimitRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /**
     * What the last incarnation left, by volume. The records are removed, so that a crash of this incarnation is not taken
     * for the end of that one. Blocks on the disk, so only before the event loop serves.
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

    /** Records the tokens by volume at the end of this incarnation, after which nothing is sent any more. */
    public void recordFinalTokens(Map<String, Double> tokensByVolume, double now) {
        Batch batch = new Batch();
        tokensByVolume.forEach((volume, tokens) -> batch.put(StoredNames.LIMITS, RecordCodec.key(volume),
            encode(tokens, now), (long) now + TIME_TO_LIVE));
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
