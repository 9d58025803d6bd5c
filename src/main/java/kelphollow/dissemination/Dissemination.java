package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import kelphollow.membership.Membership;

/**
 * Decides which changes of the digest are sent to which members and when. Changes are gossiped. At intervals a summary of
 * the view is compared with the view of a random member, and only the differences are sent. Deferrable packets wait
 * while the byte budget is spent. Times are in milliseconds. Not thread-safe; the cost of a call is at most proportional to
 * the number of members, memory to the number of states in the digest.
 */
public final class Dissemination {
    // Maximum payload of a datagram without its header and seal, in bytes: with them it fits into an Ethernet frame.
    private static final int DATAGRAM_BYTES = 1_200;
    // Maximum size of the states piggybacked on a membership message, which is sent with a header and seal anyway.
    private static final int PIGGYBACK_BYTES = 400;
    // Fraction of the budget for deferrable gossip: when many states change, a comparison sends each state about once,
    // gossip several times.
    private static final double GOSSIP_FRACTION = 0.3;
    // Fraction of the budget for urgent changes, kept apart from the debt of membership packets: a drain may coincide with
    // the loss of a zone.
    private static final double URGENT_FRACTION = 0.3;
    // Approximate size of a datagram's header and seal, in bytes.
    private static final int OVERHEAD_BYTES = 110;
    // Time between gossip rounds, so that changes collect and share a header and seal.
    private static final double GOSSIP_INTERVAL_MS = 100;

    private final DisseminationSettings settings;
    private final String self;
    private final Membership membership;
    private final Digest digest;
    private final RandomGenerator random;
    private final ByteBudget budget;
    private final ByteBudget gossipBudget;
    private final ByteBudget urgentBudget;
    private final StateGossipQueue queue;
    private final ViewComparison comparison;
    private double nextGossipAt;
    private double nextComparisonAt;

    /** {@code membership} provides the receivers, and is compared together with the digest. */
    public Dissemination(DisseminationSettings settings, String self, Membership membership, Digest digest,
        RandomGenerator random, double now) {
        this.settings = settings;
        this.self = self;
        this.membership = membership;
        this.digest = digest;
        this.random = random;
        this.budget = new ByteBudget(settings.bytesPerSecond(), now);
        this.gossipBudget = new ByteBudget(settings.bytesPerSecond() * GOSSIP_FRACTION, now);
        this.urgentBudget = new ByteBudget(settings.bytesPerSecond() * URGENT_FRACTION, now);
        this.queue = new StateGossipQueue(settings.urgentTransmissions(), settings.routineTransmissions());
        this.comparison = new ViewComparison(membership, digest, random, DATAGRAM_BYTES);
        this.nextComparisonAt = now + random.nextDouble() * settings.comparisonInterval();
    }

    /** Charges bytes that any part of the program sent to other instances. */
    public void sent(double now, long bytes) {
        budget.spend(now, bytes);
    }

    /** Whether a full exchange may be started, or answered in full. */
    public boolean allowsExchange(double now) {
        return budget.allowsDebt(now);
    }

    // ---------------------------------------------------------------- gossip

    /** Commits this instance's own changes and queues them. True if there were any. */
    public boolean commit(double now) {
        InstanceState before = digest.state(self);
        if (!digest.commit(now)) {
            return false;
        }
        queue.add(self, digest.hasNewDrainNotice(digest.state(self), before));
        return true;
    }

    /** Merges states that were received and queues those that are new. True if there were any. */
    public boolean received(double now, List<InstanceState> states) {
        Map<String, Boolean> urgent = new HashMap<>();
        states.forEach(s -> urgent.put(s.instance(), digest.hasNewDrainNotice(s, digest.state(s.instance()))));
        List<InstanceState> added = digest.merge(now, states);
        Set<String> addedNames = new HashSet<>();
        for (InstanceState state : added) {
            queue.add(state.instance(), urgent.get(state.instance()));
            addedNames.add(state.instance());
        }
        for (InstanceState state : states) {
            InstanceState known = addedNames.contains(state.instance()) ? null : digest.state(state.instance());
            if (known != null && !known.supersedes(state)) {
                queue.receivedDuplicate(state.instance(), membership.size());
            }
        }
        return !added.isEmpty();
    }

    /** Whether a change is queued that all instances should learn of at once. */
    public boolean hasUrgent() {
        return queue.hasUrgent();
    }

    /** States to piggyback on a membership message. */
    public List<InstanceState> piggyback(double now) {
        boolean gossipAllowed = allowsGossip(now);
        return queue.hasUrgent() || gossipAllowed ? next(now, PIGGYBACK_BYTES, 0, !gossipAllowed) : List.of();
    }

    /** Sends what is due. To be called every few tens of milliseconds, and immediately after an urgent change. */
    public List<DisseminationOutput> tick(double now) {
        List<DisseminationOutput> outputs = new ArrayList<>();
        if (queue.hasUrgent() && urgentBudget.allowsDeferrable(now)) {
            gossip(now, settings.urgentFanout(), true, outputs);
        } else if (!queue.isEmpty() && now >= nextGossipAt && allowsGossip(now)) {
            nextGossipAt = now + GOSSIP_INTERVAL_MS;
            gossip(now, settings.routineFanout(), false, outputs);
        }
        if (now >= nextComparisonAt) {
            nextComparisonAt = now + jittered(settings.comparisonInterval());
            List<String> present = membership.presentMembers();
            if (budget.allowsDeferrable(now) && !present.isEmpty()) {
                outputs.add(new DisseminationOutput.SendComparison(present.get(random.nextInt(present.size())),
                    comparison.summary()));
            }
        }
        return outputs;
    }

    private double jittered(double interval) {
        return interval * (0.5 + random.nextDouble());
    }

    private boolean allowsGossip(double now) {
        return budget.allowsDeferrable(now) && gossipBudget.allowsDeferrable(now);
    }

    private List<InstanceState> next(double now, int maxBytes, int overhead, boolean urgentOnly) {
        List<InstanceState> states = queue.next(now, digest, membership.size(), maxBytes, urgentOnly);
        if (!states.isEmpty()) {
            ByteBudget charged = urgentOnly ? urgentBudget : gossipBudget;
            charged.spend(now, overhead + states.stream().mapToLong(InstanceState::estimatedBytes).sum());
        }
        return states;
    }

    private void gossip(double now, int fanout, boolean urgentOnly, List<DisseminationOutput> outputs) {
        List<String> present = membership.presentMembers();
        Set<String> targets = new LinkedHashSet<>();
        for (int i = 0; i < fanout && !present.isEmpty(); i++) {
            targets.add(present.get(random.nextInt(present.size())));
        }
        for (String target : targets) {
            List<InstanceState> states = next(now, DATAGRAM_BYTES, OVERHEAD_BYTES, urgentOnly);
            if (!states.isEmpty()) {
                outputs.add(new DisseminationOutput.SendStates(target, states));
            }
        }
    }

    // ---------------------------------------------------------------- anti-entropy

    /**
     * The answer to a message of a comparison, if any. The caller merges the updates and states of the message afterwards.
     */
    public List<DisseminationOutput> answer(double now, String from, AntiEntropy message) {
        if (!budget.allowsDeferrable(now)) {
            return List.of();
        }
        if (message instanceof AntiEntropy.Summary summary) {
            return comparison.answerSummary(from, summary);
        }
        if (message instanceof AntiEntropy.Versions versions) {
            nextComparisonAt = Math.min(nextComparisonAt, now + jittered(settings.repeatedComparisonInterval()));
            return comparison.answerVersions(now, from, versions);
        }
        return comparison.answerDelta(now, from, (AntiEntropy.Delta) message);
    }
}
