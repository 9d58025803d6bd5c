package kelphollow.site;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The remote side's register of unsafe requests: each identity runs at most once, and later queries get the truth. It guards
 * three things. A request that arrives twice runs once. One that was queried before it arrived is fenced: the local site was
 * told that it never ran, so it must not run when it arrives late after all. And what was forgotten, since memory is
 * bounded, is neither run again nor reported as never run: of each incarnation of a gateway it is known up to which number
 * something was forgotten.
 *
 * <p>After a restart {@link #restore} brings back what the store holds: intents without an outcome are unknown. What is not
 * there never arrived, unless the store has lost something: then that holds only of numbers assigned since the gateway's
 * first hello in this incarnation. Confined to one event loop; some 200 bytes per identity beside its outcome.
 */
public final class DuplicateFilter {
    /** What to do with a request. */
    public enum Verdict {
        /** Run it: write its intent, and begin once that is synced. */
        RUN,
        /** It ran before: respond with the outcome that {@link #query} returns. */
        REPLAY,
        /** It is running already; this copy is not run, and its response is that of the first. */
        IN_PROGRESS,
        /** Do not run it: it was fenced, or forgotten, or its outcome is unknown. */
        REJECT,
        /** Too many are running already: it is not run now and, under this identity, never. */
        AT_CAPACITY
    }

    private enum State { RUNNING, RAN, NEVER_RAN, UNKNOWN }

    private static final class Entry {
        private State state;
        private byte[] outcome;
        private double endedAt;

        Entry(State state) {
            this.state = state;
        }
    }

    /** What is known of one incarnation of a gateway. */
    private static final class Incarnation {
        /** Nothing is known any more of numbers up to this one that are not in the register. */
        private long forgottenUpTo = -1;
        /** Whether it has said hello to this incarnation of the remote side. */
        private boolean hasSaidHello;
    }

    private record Origin(String site, long epoch) {}

    private final int maxRunning;
    private final double window;
    private final boolean storeIsComplete;
    /** In the order of their ends; running ones where they began. */
    private final Map<Identity, Entry> entries = new LinkedHashMap<>();
    private final Map<Origin, Incarnation> incarnations = new HashMap<>();
    private final Map<String, Long> latestEpochs = new HashMap<>();
    private int running;

    /**
     * @param maxRunning how many may run at once; twice as many are remembered, the earliest ended go first
     * @param window for how long an outcome is remembered after its end, in milliseconds
     * @param storeIsComplete whether the store has lost nothing since it was created
     */
    public DuplicateFilter(int maxRunning, double window, boolean storeIsComplete) {
        this.maxRunning = maxRunning;
        this.window = window;
        this.storeIsComplete = storeIsComplete;
    }

    /** Restores a record of an earlier incarnation: its outcome, or null where only the intent was found. */
    public void restore(Identity identity, byte[] outcome, double now) {
        Entry entry = new Entry(outcome == null ? State.UNKNOWN : State.RAN);
        entry.outcome = outcome;
        entry.endedAt = now;
        entries.put(identity, entry);
        latestEpochs.merge(identity.site(), identity.epoch(), Math::max);
    }

    /**
     * A gateway says hello on a link that replaces all its earlier ones.
     *
     * @param nextNumber the first number that it has not assigned yet
     * @return false if a later incarnation of that site said hello before: this one has ended
     */
    public boolean helloReceived(String site, long epoch, long nextNumber) {
        if (latestEpochs.getOrDefault(site, Long.MIN_VALUE) > epoch) {
            return false;
        }
        latestEpochs.put(site, epoch);
        Incarnation incarnation = incarnations.computeIfAbsent(new Origin(site, epoch), origin -> new Incarnation());
        if (!incarnation.hasSaidHello && !storeIsComplete) {
            incarnation.forgottenUpTo = Math.max(incarnation.forgottenUpTo, nextNumber - 1);
        }
        incarnation.hasSaidHello = true;
        return true;
    }

    private boolean isForgotten(Identity identity) {
        Incarnation incarnation = incarnations.get(new Origin(identity.site(), identity.epoch()));
        if (incarnation == null) {
            return !storeIsComplete;
        }
        return identity.number() <= incarnation.forgottenUpTo || !incarnation.hasSaidHello && !storeIsComplete;
    }

    /** A request has arrived. Whatever the verdict, the same identity never gets {@link Verdict#RUN} again. */
    public Verdict admit(Identity identity, double now) {
        Entry entry = entries.get(identity);
        if (entry != null) {
            return switch (entry.state) {
                case RAN -> Verdict.REPLAY;
                case RUNNING -> Verdict.IN_PROGRESS;
                case NEVER_RAN, UNKNOWN -> Verdict.REJECT;
            };
        }
        if (isForgotten(identity) || identity.epoch() < latestEpochs.getOrDefault(identity.site(), Long.MIN_VALUE)) {
            return Verdict.REJECT;
        }
        if (running >= maxRunning) {
            fence(identity, now);        // the sender is told that it never ran: a second copy must not run either
            return Verdict.AT_CAPACITY;
        }
        remember(identity, new Entry(State.RUNNING), now);
        running++;
        return Verdict.RUN;
    }

    /** It ran; {@code outcome} is what its client gets. */
    public void ran(Identity identity, byte[] outcome, double now) {
        end(identity, State.RAN, outcome, now);
    }

    /** Its intent was not synced, or its attempt is proved never to have run. */
    public void neverRan(Identity identity, double now) {
        end(identity, State.NEVER_RAN, null, now);
    }

    /** Its attempt broke off and may have run. */
    public void unknown(Identity identity, double now) {
        end(identity, State.UNKNOWN, null, now);
    }

    private void end(Identity identity, State state, byte[] outcome, double now) {
        Entry entry = entries.remove(identity);
        if (entry == null) {
            return;
        }
        if (entry.state == State.RUNNING) {
            running--;
            entry.state = state;
            entry.outcome = outcome;
            entry.endedAt = now;
        }
        entries.put(identity, entry);
    }

    /** The outcome of a request. One that has not arrived is fenced with this response. */
    public OutcomeResponse query(Identity identity, double now) {
        Entry entry = entries.get(identity);
        if (entry == null) {
            if (isForgotten(identity)) {
                return OutcomeResponse.UNKNOWN;
            }
            fence(identity, now);
            return OutcomeResponse.NEVER_RAN;
        }
        return switch (entry.state) {
            case RAN -> new OutcomeResponse(OutcomeResponse.Kind.RAN, entry.outcome);
            case RUNNING -> OutcomeResponse.RUNNING;
            case NEVER_RAN -> OutcomeResponse.NEVER_RAN;
            case UNKNOWN -> OutcomeResponse.UNKNOWN;
        };
    }

    private void fence(Identity identity, double now) {
        Entry fence = new Entry(State.NEVER_RAN);
        fence.endedAt = now;
        remember(identity, fence, now);
    }

    private void remember(Identity identity, Entry entry, double now) {
        forgetOld(now);
        Iterator<Map.Entry<Identity, Entry>> oldestFirst = entries.entrySet().iterator();
        while (entries.size() >= 2L * maxRunning && oldestFirst.hasNext()) {
            Map.Entry<Identity, Entry> oldest = oldestFirst.next();
            if (oldest.getValue().state != State.RUNNING) {
                forget(oldest.getKey());
                oldestFirst.remove();
            }
        }
        entries.put(identity, entry);
    }

    /** Forgets what ended longer than the window ago; running entries stay. */
    public void forgetOld(double now) {
        Iterator<Map.Entry<Identity, Entry>> oldestFirst = entries.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<Identity, Entry> oldest = oldestFirst.next();
            if (oldest.getValue().state == State.RUNNING) {
                continue;
            }
            if (now - oldest.getValue().endedAt <= window) {
                return;
            }
            forget(oldest.getKey());
            oldestFirst.remove();
        }
    }

    private void forget(Identity identity) {
        Incarnation incarnation = incarnations.computeIfAbsent(new Origin(identity.site(), identity.epoch()),
            origin -> new Incarnation());
        incarnation.forgottenUpTo = Math.max(incarnation.forgottenUpTo, identity.number());
    }

    /** Number of identities that are remembered. */
    public int size() {
        return entries.size();
    }
}
