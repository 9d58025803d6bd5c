package kelphollow.ledger;

import java.io.IOException;
import java.util.function.Consumer;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/**
 * Records of multipart upload parts: the intent before a part's first byte is sent, and its outcome. Uploads that were
 * created through this gateway are recorded too: for their parts, the absence of a record proves that they were never sent.
 * Event loop only.
 */
public final class PartRecords {
    /** How long records of uploads and parts are kept after their last change. */
    static final long TIME_TO_LIVE_MS = 7L * 24 * 3600 * 1000;
    private static final char NUMBER_SEPARATOR = '#';

    /** Receives the stored records. */
    public interface Reader {
        /** Called for each upload; all its parts that were sent since {@code sinceEpoch} have a record. */
        void upload(String upload, long sinceEpoch);

        /** Called for each part; {@code size}, {@code md5} and {@code etag} are set only if it was stored. */
        void part(String upload, int number, RecoveredOutcomes.StoredRecord found, long epoch, long size, String md5,
            String etag);
    }

    private final Ledger ledger;

    PartRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /** Reads all records. Blocks on the disk, so it may only be called before the event loop serves. */
    public void read(Reader reader) throws IOException, StoreFault {
        ledger.read(StoredNames.UPLOADS, (upload, stored) -> reader.upload(upload, stored.integer(StoredNames.EPOCH)));
        ledger.read(StoredNames.PARTS, (key, stored) -> {
            int separator = key.lastIndexOf(NUMBER_SEPARATOR);
            String etag = stored.text(StoredNames.ETAG);
            reader.part(key.substring(0, separator), Integer.parseInt(key.substring(separator + 1)),
                etag == null ? RecoveredOutcomes.StoredRecord.INTENT : RecoveredOutcomes.StoredRecord.OUTCOME,
                stored.integer(StoredNames.EPOCH), stored.integer(StoredNames.SIZE), stored.text(StoredNames.MD5), etag);
        });
    }

    private static byte[] key(String upload, int number) {
        return RecordCodec.key(upload + NUMBER_SEPARATOR + number);
    }

    private byte[] epochRecord() {
        return RecordCodec.encode(json -> json.writeNumberField(StoredNames.EPOCH, ledger.epoch()));
    }

    /** Records that an upload was created through this gateway. */
    public void recordUpload(String upload, double now) {
        ledger.writeBuffered(new Batch().put(StoredNames.UPLOADS, RecordCodec.key(upload), epochRecord(),
            (long) now + TIME_TO_LIVE_MS));
    }

    /** Records that a part may be sent; {@code then} receives null on the event loop once the record is synced. */
    public void recordIntent(String upload, int number, double now, Consumer<StoreFault> then) {
        ledger.writeSynced(new Batch().put(StoredNames.PARTS, key(upload, number), epochRecord(),
            (long) now + TIME_TO_LIVE_MS), then);
    }

    /** Records that a part was stored. */
    public void recordStored(String upload, int number, long size, String md5, String etag, double now) {
        byte[] outcome = RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.EPOCH, ledger.epoch());
            json.writeNumberField(StoredNames.SIZE, size);
            RecordCodec.writeOptional(json, StoredNames.MD5, md5);
            RecordCodec.writeOptional(json, StoredNames.ETAG, etag);
        });
        ledger.writeBuffered(
            new Batch().put(StoredNames.PARTS, key(upload, number), outcome, (long) now + TIME_TO_LIVE_MS));
    }

    /** Removes the record of a part that provably was not stored. */
    public void removeIntent(String upload, int number) {
        ledger.writeBuffered(new Batch().remove(StoredNames.PARTS, key(upload, number)));
    }

    /** Removes all records of an upload that has ended; {@code parts} are the numbers of its recorded parts. */
    public void removeUpload(String upload, Iterable<Integer> parts) {
        ledger.writeBuffered(removals(upload, parts));
    }

    /** Removes all records of an upload before it is aborted; {@code then} receives null on the loop once that is synced. */
    public void removeUploadSynced(String upload, Iterable<Integer> parts, Consumer<StoreFault> then) {
        ledger.writeSynced(removals(upload, parts), then);
    }

    private static Batch removals(String upload, Iterable<Integer> parts) {
        Batch batch = new Batch().remove(StoredNames.UPLOADS, RecordCodec.key(upload));
        parts.forEach(number -> batch.remove(StoredNames.PARTS, key(upload, number)));
        return batch;
    }

    /** Records that some parts of an upload were dropped from memory, so that a missing record proves nothing any more. */
    public void markIncomplete(String upload) {
        ledger.writeBuffered(new Batch().remove(StoredNames.UPLOADS, RecordCodec.key(upload)));
    }
}
