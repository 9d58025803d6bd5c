package kelphollow.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Indirect probes that this instance makes for other members (SWIM section 3.1), with Lifeguard's nack if the target does
 * not answer in time. At most {@link MembershipSettings#maxMembers} at a time.
 */
final class RelayedProbes {
    // The nack is sent at this fraction of the probe timeout, so that it arrives before the requester's probe ends.
    private static final double NACK_FRACTION = 0.8;

    private record RelayedProbe(String requester, long requestSequence, double nackAt, boolean nackSent, double expiresAt) {
        double dueAt() {
            return nackSent ? expiresAt : nackAt;
        }

        RelayedProbe withNackSent() {
            return new RelayedProbe(requester, requestSequence, nackAt, true, expiresAt);
        }
    }

    private final MembershipContext context;
    private final UpdateGossip gossip;
    private final Map<Long, RelayedProbe> bySequence = new HashMap<>();

    RelayedProbes(MembershipContext context, UpdateGossip gossip) {
        this.context = context;
        this.gossip = gossip;
    }

    boolean hasCapacity() {
        return bySequence.size() < context.settings().maxMembers();
    }

    /** Records a probe for a requester; returns the sequence number to ping the target with. */
    long start(String requester, Message.PingRequest request) {
        long sequence = context.nextSequence();
        MembershipSettings settings = context.settings();
        bySequence.put(sequence, new RelayedProbe(requester, request.sequence(),
            context.now() + NACK_FRACTION * settings.probeTimeout(), false, context.now() + settings.protocolPeriod()));
        return sequence;
    }

    /** Relays the answer to the requester. False if the sequence number belongs to no relayed probe. */
    boolean acknowledge(long sequence) {
        RelayedProbe probe = bySequence.remove(sequence);
        if (probe == null) {
            return false;
        }
        context.send(probe.requester, new Message.Ack(probe.requestSequence, gossip.piggyback()));
        return true;
    }

    /** Sends the nacks that are due, and removes expired probes. */
    void runDue() {
        for (Map.Entry<Long, RelayedProbe> e : List.copyOf(bySequence.entrySet())) {
            RelayedProbe probe = e.getValue();
            if (!probe.nackSent && context.now() >= probe.nackAt) {
                context.send(probe.requester, new Message.Nack(probe.requestSequence, gossip.piggyback()));
                bySequence.put(e.getKey(), probe.withNackSent());
            } else if (context.now() >= probe.expiresAt) {
                bySequence.remove(e.getKey());
            }
        }
    }

    /** When {@link #runDue} is due, or infinity. */
    double nextDueAt() {
        double next = Double.POSITIVE_INFINITY;
        for (RelayedProbe probe : bySequence.values()) {
            next = Math.min(next, probe.dueAt());
        }
        return next;
    }

    void clear() {
        bySequence.clear();
    }
}
