package kelphollow.protocol.object;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import kelphollow.ledger.PartRecords;
import kelphollow.store.StoreFault;

/** A part of a multipart upload, and what is known about its state. Confined to the event loop. */
final class UploadPart {
    /** What is known about the part, which decides how a client's request for it is handled. */
    enum State {
        /** Nothing is known: the node must be queried first. */
        UNRECORDED,
        /** A client's part is being forwarded, or the node is being queried. */
        BUSY,
        /** The part is stored with {@link UploadPart#content}. */
        STORED,
        /** An attempt may have stored it, or may still do so. */
        UNKNOWN
    }

    private final UploadParts parts;
    /** Null without persistence. */
    private final PartRecords records;
    private final String upload;
    private final String name;
    private final int number;
    private final List<PartOutcome.Listener> listeners = new ArrayList<>(1);
    private State state;
    /** Whether there is a record that the part may have been sent. */
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

    /** The name of a part, unique over all uploads. */
    static String name(String upload, int number) {
        return upload + '#' + number;
    }

    /** Sets the state that an earlier incarnation recorded; {@code known} is null if only the intent was recorded. */
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

    /** The stored content, or null. */
    PartContent content() {
        return content;
    }

    /** The outcome for clients that send the stored content again. */
    PartOutcome storedOutcome() {
        return PartOutcome.stored(content, etag);
    }

    /** Time of the last activity of the attempt with an unknown outcome. */
    double unknownSince() {
        return unknownSince;
    }

    /** The node is being queried for the part. */
    void markQuerying() {
        state = State.BUSY;
    }

    /**
     * The part is about to be sent. {@code then} receives null once the intent is durable, or the fault that prevented it.
     */
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

    /** An attempt may have stored the part; {@code since} is the time of its last activity. */
    void markUnknown(double since, S3Error error) {
        state = State.UNKNOWN;
        unknownSince = since;
        notifyListeners(PartOutcome.failed(error));
    }

    /** Nothing was stored: a client may send the part again. */
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
