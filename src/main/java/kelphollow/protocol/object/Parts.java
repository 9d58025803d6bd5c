package kelphollow.protocol.object;

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

/**
 * What is known of the parts of uploads, so that none is written twice. Memory is bounded: what is forgotten is
 * asked of the node again, by ListParts, before anything is sent.
 */
final class Parts {
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
    record Print(long size, String md5) { }

    /** How a sending ended, for all that wait for it: its answer, or the error that the others get too. */
    record End(Print print, String etag, S3Error error) { }

    /** Hears how the sending ended that it waited for. */
    interface Waiter {
        void ended(End end);
    }

    /** One part of one upload. */
    final class Part {
        private final String upload, name;
        private final List<Waiter> waiters = new ArrayList<>(1);
        State state;
        Print print;
        String etag;
        double unknownSince;

        private Part(String upload, String name, State state) {
            this.upload = upload;
            this.name = name;
            this.state = state;
        }

        void join(Waiter waiter) {
            waiters.add(waiter);
        }

        void leave(Waiter waiter) {
            waiters.remove(waiter);
        }

        void stored(Print content, String tag) {
            state = State.STORED;
            print = content;
            etag = tag;
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
    private final Map<String, Part> parts = new LinkedHashMap<>(16, 0.75f, true);
    /** Uploads begun through this process of which no part was forgotten: what is not in {@link #parts} was never sent. */
    private final Set<String> complete = new LinkedHashSet<>();

    /** {@code settle} is how long after its last sign an attempt may still take effect. */
    Parts(int most, double settle) {
        this.most = most;
        this.settle = settle;
    }

    static String upload(ObjectCall call) {
        return call.bucket() + '/' + call.key() + '?' + call.uploadId();
    }

    /** An upload has been begun here. */
    void begun(String upload) {
        complete.add(upload);
        if (complete.size() > most) {
            complete.remove(complete.iterator().next());
        }
    }

    /** An upload is over. */
    void over(String upload) {
        complete.remove(upload);
        parts.values().removeIf(p -> p.upload.equals(upload) && p.state != State.BUSY);
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
            part = new Part(upload, name, State.ASK);
            parts.put(name, part);
        }
        return part;
    }

    /** Whether a part that is not remembered is known never to have been sent. */
    boolean isNew(ObjectCall call) {
        return complete.contains(upload(call));
    }

    private boolean evict(double now) {
        for (Iterator<Part> all = parts.values().iterator(); all.hasNext(); ) {
            Part part = all.next();
            if (part.state == State.STORED || part.state == State.UNKNOWN && now - part.unknownSince > settle) {
                all.remove();
                complete.remove(part.upload);
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
