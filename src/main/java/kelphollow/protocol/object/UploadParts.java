package kelphollow.protocol.object;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.ledger.PartRecords;
import kelphollow.recovery.RecoveredOutcome;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.recovery.RecoveredOutcomes.StoredRecord;
import kelphollow.store.StoreFault;

/**
 * Tracks the parts of multipart uploads, so that none is stored twice. Memory is bounded: for an evicted part the node is
 * queried by ListParts before anything is sent. With records the state survives a restart. Confined to the event loop.
 */
final class UploadParts {
    private final int capacity;
    private final double settleTime;
    private final PartRecords records;
    private final Map<String, UploadPart> parts = new LinkedHashMap<>(16, 0.75f, true);
    /**
     * Uploads created through this gateway of which no part was evicted: a part missing in {@link #parts} was never sent.
     */
    private final Set<String> fullyTracked = new LinkedHashSet<>();

    /**
     * @param capacity largest number of parts, and of uploads, that are remembered
     * @param settleTime milliseconds for which an attempt may still take effect after its last activity
     * @param records null without persistence
     */
    UploadParts(int capacity, double settleTime, PartRecords records) {
        this.capacity = capacity;
        this.settleTime = settleTime;
        this.records = records;
    }

    /** Loads what earlier incarnations recorded, up to the capacity. */
    void restore(RecoveredOutcomes recovered, double now) throws IOException, StoreFault {
        records.read(new PartRecords.Reader() {
            @Override public void upload(String upload, long sinceEpoch) {
                if (recovered.classify(StoredRecord.NONE, sinceEpoch, true).kind() == RecoveredOutcome.Kind.NEVER_RAN) {
                    fullyTracked.add(upload);
                }
            }

            @Override public void part(String upload, int number, StoredRecord found, long epoch, long size, String md5,
                String tag) {
                restorePart(new UploadPart(UploadParts.this, records, upload, number), recovered.classify(found, epoch,
                    false),
                    md5 == null ? null : new PartContent(size, md5), tag, now);
            }
        });
        while (fullyTracked.size() > capacity) {
            fullyTracked.remove(fullyTracked.iterator().next());
        }
    }

    private void restorePart(UploadPart part, RecoveredOutcome outcome, PartContent content, String tag, double now) {
        boolean ran = outcome.kind() == RecoveredOutcome.Kind.RAN;
        part.restore(ran ? UploadPart.State.STORED : UploadPart.State.UNKNOWN, content, tag,
            outcome.settledAt() - settleTime);
        if (parts.size() < capacity || evict(now)) {
            parts.put(part.name(), part);
        } else {
            fullyTracked.remove(part.upload());
        }
    }

    /** The key of the call's upload, unique over objects. */
    static String uploadKey(ObjectCall call) {
        return uploadKey(call, call.uploadId());
    }

    /** The key of an upload of the call's object. */
    static String uploadKey(ObjectCall call, String uploadId) {
        return call.bucket() + '/' + call.key() + '?' + uploadId;
    }

    /** An upload was created through this gateway. */
    void uploadCreated(String upload, double now) {
        fullyTracked.add(upload);
        if (records != null) {
            records.recordUpload(upload, now);
        }
        if (fullyTracked.size() > capacity) {
            markNotFullyTracked(fullyTracked.iterator().next());
        }
    }

    private void markNotFullyTracked(String upload) {
        if (fullyTracked.remove(upload) && records != null) {
            records.markIncomplete(upload);
        }
    }

    /** An upload was completed or aborted. */
    void uploadEnded(String upload) {
        List<Integer> forgotten = forget(upload, Set.of(UploadPart.State.STORED, UploadPart.State.UNKNOWN));
        if (records != null) {
            records.removeUpload(upload, forgotten);
        }
    }

    /**
     * An abort of the upload is about to be sent; {@code then} receives null once the removal of its records is durable,
     * or the fault that prevented it. From now on the node is queried for its parts: a record that outlived the upload
     * would report parts as stored that no longer exist. Parts of unknown outcome stay so until the upload has ended: the
     * node may not abort it, and may still store them.
     */
    void recordAbort(String upload, Consumer<StoreFault> then) {
        List<Integer> forgotten = forget(upload, Set.of(UploadPart.State.STORED));
        if (records == null) {
            then.accept(null);
        } else {
            records.removeUploadSynced(upload, forgotten, then);
        }
    }

    /** Forgets the upload's parts in these states; returns their numbers. */
    private List<Integer> forget(String upload, Set<UploadPart.State> states) {
        fullyTracked.remove(upload);
        List<Integer> numbers = new ArrayList<>();
        parts.values().removeIf(part -> part.upload().equals(upload) && states.contains(part.state())
            && numbers.add(part.number()));
        return numbers;
    }

    /**
     * Returns the call's part, {@link UploadPart.State#UNRECORDED} if it is new, or null if the capacity is used up by parts
     * that cannot be evicted.
     */
    UploadPart find(ObjectCall call, double now) {
        String upload = uploadKey(call);
        UploadPart part = parts.get(UploadPart.name(upload, call.partNumber()));
        if (part == null) {
            if (parts.size() >= capacity && !evict(now)) {
                return null;
            }
            part = new UploadPart(this, records, upload, call.partNumber());
            parts.put(part.name(), part);
        }
        return part;
    }

    /** Whether a part of this call's upload that is not remembered was certainly never sent. */
    boolean isFullyTracked(ObjectCall call) {
        return fullyTracked.contains(uploadKey(call));
    }

    private boolean evict(double now) {
        for (Iterator<UploadPart> all = parts.values().iterator(); all.hasNext();) {
            UploadPart part = all.next();
            boolean settled = part.state() == UploadPart.State.UNKNOWN && now - part.unknownSince() > settleTime;
            if (part.state() == UploadPart.State.STORED || settled) {
                all.remove();
                markNotFullyTracked(part.upload());
                return true;
            }
        }
        return false;
    }

    void remove(UploadPart part) {
        parts.remove(part.name(), part);
    }
}
