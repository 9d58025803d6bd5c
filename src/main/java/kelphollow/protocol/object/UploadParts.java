package kelphollow.protocol.object;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
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
import kelphollow.recovery.RecoveredOutcomes.Found;
import kelphollow.store.StoreFault;

/**
 * What is known of the parts of uploads, so that none is written twice. Memory is bounded: what is forgotten is
 * asked of the node again, by ListParts, before anything is sent. With records it outlives the process.
 */
final class UploadParts {
    /** What a client's sending of a part has to wait for, or what it may do. */
    enum State {
        /** Nothing is known: the node must be asked first. */
        ASK,
        /** Somebody is sending it, or asking for it. */
        BUSY,
        /** It is stored; {@link Part#print} tells with which content. */
        STORED,
        /** An attempt may have stored it, or may do so yet. */
        UNKNOWN
    }

    /** The content of a part: its size and MD5, which S3 gives as its entity tag. */
    record Print(long size, String md5) {}

    /** How a sending ended, for all that wait for it: its answer, or the error that the others get too. */
    record End(Print print, String etag, S3Error error) {}

    /** Hears how the sending ended that it waited for. */
    interface Waiter {
        void ended(End end);
    }

    /** One part of one upload. */
    final class Part {
        private final String upload, name;
        private final int number;
        /** Whether there is a record that it may have gone out. */
        private boolean isRecorded;
        private final List<Waiter> waiters = new ArrayList<>(1);
        State state;
        Print print;
        String etag;
        double unknownSince;

        private Part(String upload, int number, State state) {
            this.upload = upload;
            this.number = number;
            this.name = upload + '#' + number;
            this.state = state;
        }

        /** It is about to go out; hears when this cannot be forgotten any more. */
        void sending(double now, Consumer<StoreFault> then) {
            state = State.BUSY;
            if (records == null) {
                then.accept(null);
            } else {
                isRecorded = true;
                records.intent(upload, number, now, then);
            }
        }

        void join(Waiter waiter) {
            waiters.add(waiter);
        }

        void leave(Waiter waiter) {
            waiters.remove(waiter);
        }

        void stored(Print content, String tag, double now) {
            state = State.STORED;
            print = content;
            etag = tag;
            if (records != null) {
                isRecorded = true;
                records.stored(upload, number, content.size, content.md5, tag, now);
            }
            tell(new End(content, tag, null));
        }

        /** An attempt may have stored it. */
        void unknown(double now, S3Error error) {
            state = State.UNKNOWN;
            unknownSince = now;
            tell(new End(null, null, error));
        }

        /** Nothing was stored by this sending: the next one begins anew. */
        void forget(S3Error error) {
            parts.remove(name, this);
            if (isRecorded) {
                records.neverRan(upload, number);
            }
            tell(new End(null, null, error));
        }

        private void tell(End end) {
            List<Waiter> told = List.copyOf(waiters);
            waiters.clear();
            told.forEach(w -> w.ended(end));
        }
    }

    private final int most;
    private final double settle;
    private final PartRecords records;
    private final Map<String, Part> parts = new LinkedHashMap<>(16, 0.75f, true);
    /** Uploads begun through this process of which no part was forgotten: what is not in {@link #parts} was never sent. */
    private final Set<String> complete = new LinkedHashSet<>();

    /**
     * {@code settle} is how long after its last sign an attempt may still take effect; {@code records} is null where
     * nothing outlives this process.
     */
    UploadParts(int most, double settle, PartRecords records) {
        this.most = most;
        this.settle = settle;
        this.records = records;
    }

    /** Takes over what the lives before have left, as far as there is room for it. */
    void restore(RecoveredOutcomes recovered, double now) throws IOException, StoreFault {
        records.read(new PartRecords.Reader() {
            @Override public void upload(String upload, long sinceEpoch) {
                if (recovered.of(Found.NOTHING, sinceEpoch, true).kind() == RecoveredOutcome.Kind.NEVER_RAN) {
                    complete.add(upload);
                }
            }

            @Override public void part(String upload, int number, Found found, long epoch, long size, String md5,
                String tag) {
                RecoveredOutcome outcome = recovered.of(found, epoch, false);
                boolean ran = outcome.kind() == RecoveredOutcome.Kind.RAN;
                Part part = new Part(upload, number, ran ? State.STORED : State.UNKNOWN);
                part.isRecorded = true;
                part.print = md5 == null ? null : new Print(size, md5);
                part.etag = tag;
                part.unknownSince = outcome.safeFrom() - settle;
                if (parts.size() < most || evict(now)) {
                    parts.put(part.name, part);
                } else {
                    complete.remove(upload);
                }
            }
        });
        while (complete.size() > most) {
            complete.remove(complete.iterator().next());
        }
    }

    static String upload(ObjectCall call) {
        return call.bucket() + '/' + call.key() + '?' + call.uploadId();
    }

    /** An upload has been begun here. */
    void begun(String upload, double now) {
        complete.add(upload);
        if (records != null) {
            records.begun(upload, now);
        }
        if (complete.size() > most) {
            incomplete(complete.iterator().next());
        }
    }

    private void incomplete(String upload) {
        if (complete.remove(upload) && records != null) {
            records.incomplete(upload);
        }
    }

    /** An upload is over. */
    void over(String upload) {
        List<Integer> gone = forget(upload);
        if (records != null) {
            records.over(upload, gone);
        }
    }

    /**
     * An abort of the upload is about to go out; hears when that cannot be forgotten any more. From here on its parts
     * are asked for: a record that outlived the upload would answer for parts that are gone.
     */
    void aborting(String upload, Consumer<StoreFault> then) {
        List<Integer> gone = forget(upload);
        if (records == null) {
            then.accept(null);
        } else {
            records.aborting(upload, gone, then);
        }
    }

    /** Gives the numbers of the parts that were remembered. */
    private List<Integer> forget(String upload) {
        complete.remove(upload);
        List<Integer> gone = new ArrayList<>();
        parts.values().removeIf(p -> p.upload.equals(upload) && p.state != State.BUSY && gone.add(p.number));
        return gone;
    }

    /** The part, or a new one that is {@link State#ASK} unless it cannot have been sent before; null when all are busy. */
    Part find(ObjectCall call, double now) {
        String upload = upload(call);
        String name = upload + '#' + call.partNumber();
        Part part = parts.get(name);
        if (part == null) {
            if (parts.size() >= most && !evict(now)) {
                return null;
            }
            part = new Part(upload, call.partNumber(), State.ASK);
            parts.put(name, part);
        }
        return part;
    }

    /** Whether what is not remembered of this call's upload is known never to have been sent. */
    boolean isNew(ObjectCall call) {
        return complete.contains(upload(call));
    }

    private boolean evict(double now) {
        for (Iterator<Part> all = parts.values().iterator(); all.hasNext();) {
            Part part = all.next();
            if (part.state == State.STORED || part.state == State.UNKNOWN && now - part.unknownSince > settle) {
                all.remove();
                incomplete(part.upload);
                return true;
            }
        }
        return false;
    }

    int remembered() {
        return parts.size();
    }

    /** The digest that makes a {@link Print}. */
    static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("MD5");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every Java has it
        }
    }

    static String hex(MessageDigest digest) {
        return HexFormat.of().formatHex(digest.digest());
    }
}
