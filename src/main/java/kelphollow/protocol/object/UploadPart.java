package kelphollow.protocol.object;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import kelphollow.ledger.PartRecords;
import kelphollow.store.StoreFault;

/** One part of one upload, and what is known of it. For the event loop alone. */
final class UploadPart {
    /** What a client's part has to wait for, or what may be done with it. */
    enum State {
        /** Nothing is known: the node must be asked first. */
        UNRECORDED,
        /** A client's part is being forwarded, or the node is being asked. */
        BUSY,
        /** It is stored; {@link UploadPart#content} tells with which content. */
        STORED,
        /** An attempt may have stored it, or may do so yet. */
        UNKNOWN
    }

    private final UploadParts parts;
    /** Null where nothing outlives this process. */
    private final PartRecords records;
    private final String upload;
    private final String name;
    private final int number;
    private final List<PartOutcome.Listener> listeners = new ArrayList<>(1);
    private State state;
    /** Whether there is a record that it may have been sent. */
    private boolean isRecorded;
    private PartContent content;
    private String etag;
    private double unknownSince;

    UploadPart(UploadParts parts, PartRecords records, String upload, int number) {
        this.parts = parts;
        this.records = records;
        this.upload = upload;
        this.number = number;
        this.name = name(upload, number);
        this.state = State.UNRECORDED;
    }

    /** The name of a part among all, unique over uploads. */
    static String name(String upload, int number) {
        return upload + '#' + number;
    }

    /** Takes over what an earlier incarnation has recorded; {@code known} is null where only the intent was. */
    void restore(State restored, PartContent known, String tag, double since) {
        state = restored;
        isRecorded = true;
        content = known;
        etag = tag;
        unknownSince = since;
    }

    String name() {
        return name;
    }

    String upload() {
        return upload;
    }

    int number() {
        return number;
    }

    State state() {
        return state;
    }

    /** The content that is stored, or null. */
    PartContent content() {
        return content;
    }

    /** What clients get that bring the stored content again. */
    PartOutcome storedOutcome() {
        return PartOutcome.stored(content, etag);
    }

    /** The time of the last sign of an attempt whose outcome is unknown. */
    double unknownSince() {
        return unknownSince;
    }

    /** The node is being asked for it. */
    void markQuerying() {
        state = State.BUSY;
    }

    /** It is about to be sent; {@code then} gets null once that cannot be forgotten any more, or what hinders it. */
    void markSending(double now, Consumer<StoreFault> then) {
        state = State.BUSY;
        if (records == null) {
            then.accept(null);
        } else {
            isRecorded = true;
            records.recordIntent(upload, number, now, then);
        }
    }

    void addListener(PartOutcome.Listener listener) {
        listeners.add(listener);
    }

    void removeListener(PartOutcome.Listener listener) {
        listeners.remove(listener);
    }

    void markStored(PartContent stored, String tag, double now) {
        state = State.STORED;
        content = stored;
        etag = tag;
        if (records != null) {
            isRecorded = true;
            records.recordStored(upload, number, stored.size(), stored.md5(), tag, now);
        }
        notifyListeners(PartOutcome.stored(stored, tag));
    }

    /** An attempt may have stored it; {@code since} is the time of its last sign. */
    void markUnknown(double since, S3Error error) {
        state = State.UNKNOWN;
        unknownSince = since;
        notifyListeners(PartOutcome.failed(error));
    }

    /** Nothing was stored: the next client's part starts anew. */
    void forget(S3Error error) {
        parts.remove(this);
        if (isRecorded) {
            records.removeIntent(upload, number);
        }
        notifyListeners(PartOutcome.failed(error));
    }

    private void notifyListeners(PartOutcome outcome) {
        List<PartOutcome.Listener> notified = List.copyOf(listeners);
        listeners.clear();
        notified.forEach(listener -> listener.ended(outcome));
    }
}
