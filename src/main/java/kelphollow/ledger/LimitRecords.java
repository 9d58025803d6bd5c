package kelphollow.ledger;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import kelphollow.recovery.LimitRecovery;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/** The levels of volumes' limits, as they were at the end of the last life. Event loop only. */
public final class LimitRecords {
    private static final String LIMITS = "limits";
    /** A level that old has filled whatever the limit; in milliseconds. */
    private static final long WINDOW = 24L * 3600 * 1000;

    private final Ledger ledger;

    LimitRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /**
     * What the last life left, by volume. From here on those levels do not hold any more and are marked as not clean,
     * so that a crash of this life is not taken for the end of that one.
     */
    public Map<String, LimitRecovery.Saved> take() throws IOException, StoreFault {
        Map<String, LimitRecovery.Saved> saved = new HashMap<>();
        Batch used = new Batch();
        ledger.read(LIMITS, (volume, fields) -> {
            boolean clean = Records.number(fields, "endOf") == ledger.epoch() - 1;
            saved.put(volume, new LimitRecovery.Saved(Records.number(fields, "level"), Records.number(fields, "at"), clean));
            used.remove(LIMITS, Records.key(volume));
        });
        if (!used.isEmpty()) {
            ledger.after(used);
        }
        return saved;
    }

    /** Writes the levels at the end of this life, after which nothing is sent any more. */
    public void end(Map<String, Double> levels, double now) {
        Batch batch = new Batch();
        levels.forEach((volume, level) -> batch.put(LIMITS, Records.key(volume),
            Records.value("endOf", ledger.epoch(), "level", level, "at", now), (long) now + WINDOW));
        if (!batch.isEmpty()) {
            ledger.after(batch);
        }
    }
}
