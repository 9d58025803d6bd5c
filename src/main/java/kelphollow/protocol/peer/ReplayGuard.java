package kelphollow.protocol.peer;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Accepts each counter of a process once: a sliding window as in IPsec (RFC 4303, section 3.4.3). A process is replaced
 * by one of a higher epoch, or of the same epoch if it answered a challenge; replaced ones are not accepted again.
 * Bounded in names; for one thread.
 */
final class ReplayGuard {
    /** Counters that may arrive late, behind the highest seen. */
    static final int WINDOW = 1_024;
    private static final int MAX_REPLACED = 16;

    /** The current process of one name. */
    private static final class Sender {
        private final BitSet seen = new BitSet(WINDOW);
        private final ArrayDeque<String> replacedIds = new ArrayDeque<>();
        private String incarnationId;
        private long epoch;
        private long highest;

        Sender(Seal.Envelope first) {
            adopt(first);
        }

        /** The process of this packet becomes the current one. */
        void adopt(Seal.Envelope envelope) {
            incarnationId = envelope.incarnationId();
            epoch = envelope.epoch();
            highest = envelope.counter();
            seen.clear();
            seen.set(bit(envelope.counter()));
        }

        void replaceBy(Seal.Envelope envelope) {
            if (replacedIds.size() >= MAX_REPLACED) {
                replacedIds.poll();
            }
            replacedIds.add(incarnationId);
            adopt(envelope);
        }

        boolean acceptCounter(long counter) {
            long behind = highest - counter;
            if (behind >= WINDOW) {
                return false;
            }
            if (behind < 0) {
                advanceTo(counter);
            } else if (seen.get(bit(counter))) {
                return false;
            }
            seen.set(bit(counter));
            return true;
        }

        /** Moves the window on, and clears what it leaves behind for the counters to come. */
        private void advanceTo(long counter) {
            if (counter - highest > WINDOW) {
                seen.clear();
            } else {
                for (long skipped = highest + 1; skipped <= counter; skipped++) {
                    seen.clear(bit(skipped));
                }
            }
            highest = counter;
        }

        private static int bit(long counter) {
            return (int) (counter % WINDOW);
        }
    }

    private final int maxNames;
    /** By name, the one accessed longest ago first. */
    private final Map<String, Sender> senders = new LinkedHashMap<>(16, 0.75f, true);

    ReplayGuard(int maxNames) {
        this.maxNames = maxNames;
    }

    /** Whether the packet is new. {@code challenged}: it answers a challenge made just now, so it is no replay. */
    boolean accept(Seal.Envelope envelope, boolean challenged) {
        Sender sender = senders.get(envelope.name());
        if (sender == null) {
            ensureCapacity();
            senders.put(envelope.name(), new Sender(envelope));
            return true;
        }
        if (!envelope.incarnationId().equals(sender.incarnationId)) {
            return acceptOtherProcess(sender, envelope, challenged);
        }
        sender.epoch = Math.max(sender.epoch, envelope.epoch());
        return sender.acceptCounter(envelope.counter());
    }

    private void ensureCapacity() {
        if (senders.size() >= maxNames) {
            Iterator<String> names = senders.keySet().iterator();
            names.next();
            names.remove();
        }
    }

    private static boolean acceptOtherProcess(Sender sender, Seal.Envelope envelope, boolean challenged) {
        if (challenged && envelope.epoch() < sender.epoch) {
            return true;               // it runs, and must learn of the later process, which it does not replace
        }
        boolean outdated = !challenged && envelope.epoch() <= sender.epoch;
        if (outdated || sender.replacedIds.contains(envelope.incarnationId())) {
            return false;
        }
        sender.replaceBy(envelope);
        return true;
    }
}
