package kelphollow.protocol.peer;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Accepts each packet counter of a process once, by a sliding window as in IPsec (RFC 4303, section 3.4.3). A process is
 * replaced by one with a higher epoch, or with the same epoch if it answered a challenge; a replaced process is not
 * accepted again. Keeps a bounded number of names. Not thread-safe.
 */
final class ReplayGuard {
    /** Size of the window: a counter is rejected as too old if it is this far or further below the highest seen. */
    static final int WINDOW = 1_024;
    private static final int MAX_REPLACED_IDS = 16;

    /** The state kept for one name: its current process and the ids of those that it replaced. */
    private static final class Sender {
        private final BitSet seen = new BitSet(WINDOW);
        private final ArrayDeque<String> replacedIds = new ArrayDeque<>();
        private String incarnationId;
        private long epoch;
        private long highest;

        Sender(Seal.Envelope first) {
            adopt(first);
        }

        /** Makes the sender of this packet the current process. */
        void adopt(Seal.Envelope envelope) {
            incarnationId = envelope.incarnationId();
            epoch = envelope.epoch();
            highest = envelope.counter();
            seen.clear();
            seen.set(bit(envelope.counter()));
        }

        void replaceBy(Seal.Envelope envelope) {
            if (replacedIds.size() >= MAX_REPLACED_IDS) {
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

        /** Advances the window and clears the bits of the counters that enter it, which are reused. */
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
    /** By name, in access order, least recently used first. */
    private final Map<String, Sender> senders = new LinkedHashMap<>(16, 0.75f, true);

    ReplayGuard(int maxNames) {
        this.maxNames = maxNames;
    }

    /**
     * Whether the packet is accepted as new; records it if so.
     *
     * @param challenged whether the packet answers a challenge of this exchange and thus cannot be a replay
     */
    boolean accept(Seal.Envelope envelope, boolean challenged) {
        Sender sender = senders.get(envelope.name());
        if (sender == null) {
            evictIfFull();
            senders.put(envelope.name(), new Sender(envelope));
            return true;
        }
        if (!envelope.incarnationId().equals(sender.incarnationId)) {
            return acceptOtherProcess(sender, envelope, challenged);
        }
        sender.epoch = Math.max(sender.epoch, envelope.epoch());
        return sender.acceptCounter(envelope.counter());
    }

    private void evictIfFull() {
        if (senders.size() >= maxNames) {
            Iterator<String> names = senders.keySet().iterator();
            names.next();
            names.remove();
        }
    }

    private static boolean acceptOtherProcess(Sender sender, Seal.Envelope envelope, boolean challenged) {
        if (challenged && envelope.epoch() < sender.epoch) {
            return true;               // accepted, so that it learns of the later process, but does not replace it
        }
        boolean outdated = !challenged && envelope.epoch() <= sender.epoch;
        if (outdated || sender.replacedIds.contains(envelope.incarnationId())) {
            return false;
        }
        sender.replaceBy(envelope);
        return true;
    }
}
