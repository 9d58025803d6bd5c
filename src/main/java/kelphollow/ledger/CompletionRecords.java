package kelphollow.ledger;

import java.io.IOException;
import java.util.function.Consumer;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/** Records of multipart upload completions: the intent before one is sent, and its response. Event loop only. */
public final class CompletionRecords {
    /** How long a record is kept. */
    static final long TIME_TO_LIVE_MS = 24L * 3600 * 1000;

    /** A recorded response; {@code partListDigest} is the digest of the completed list of parts. */
    public record RecordedResponse(String partListDigest, int status, String type, String body) {}

    /** Receives the stored records. */
    public interface Reader {
        /** Called for each record; {@code response} is null for an intent. */
        void completion(String upload, RecoveredOutcomes.StoredRecord found, long epoch, RecordedResponse response);
    }

    private final Ledger ledger;

    CompletionRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /** Reads all records. Blocks on the disk, so it may only be called before the event loop serves. */
    public void read(Reader reader) throws IOException, StoreFault {
        ledger.read(StoredNames.COMPLETIONS, (upload, stored) -> {
            RecordedResponse response = response(stored);
            reader.completion(upload,
                response == null ? RecoveredOutcomes.StoredRecord.INTENT : RecoveredOutcomes.StoredRecord.OUTCOME,
                stored.integer(StoredNames.EPOCH), response);
        });
    }

    private static RecordedResponse response(StoredRecord stored) {
        String body = stored.text(StoredNames.BODY);
        return body == null ? null : new RecordedResponse(stored.text(StoredNames.PART_LIST_DIGEST),
            (int) stored.number(StoredNames.STATUS), stored.text(StoredNames.CONTENT_TYPE), body);
    }

    /** Records that a completion may be sent; {@code then} receives null on the event loop once the record is synced. */
    public void recordIntent(String upload, double now, Consumer<StoreFault> then) {
        byte[] intent = RecordCodec.encode(json -> json.writeNumberField(StoredNames.EPOCH, ledger.epoch()));
        ledger.writeSynced(
            new Batch().put(StoredNames.COMPLETIONS, RecordCodec.key(upload), intent, (long) now + TIME_TO_LIVE_MS), then);
    }

    /** Records the response, which is replayed to a client that retries the same completion. */
    public void recordResponse(String upload, RecordedResponse response, double now) {
        byte[] outcome = RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.EPOCH, ledger.epoch());
            RecordCodec.writeOptional(json, StoredNames.PART_LIST_DIGEST, response.partListDigest);
            json.writeNumberField(StoredNames.STATUS, response.status);
            RecordCodec.writeOptional(json, StoredNames.CONTENT_TYPE, response.type);
            RecordCodec.writeOptional(json, StoredNames.BODY, response.body);
        });
        ledger.writeBuffered(
            new Batch().put(StoredNames.COMPLETIONS, RecordCodec.key(upload), outcome, (long) now + TIME_TO_LIVE_MS));
    }

    /** Removes the record of a completion that provably never ran. */
    public void removeIntent(String upload) {
        ledger.writeBuffered(new Batch().remove(StoredNames.COMPLETIONS, RecordCodec.key(upload)));
    }
}
