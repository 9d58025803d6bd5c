package kelphollow.membership;

import java.util.ArrayList;
import java.util.List;
import kelphollow.membership.MemberUpdate.State;

/**
 * SWIM's failure detector: the protocol period with a direct and indirect probes (section 3.1) of members in round-robin
 * order (section 4.3), and Lifeguard's local health (LHA-Probe) and buddy system.
 */
final class FailureDetector {
    /** The probe of one protocol period: direct at first, indirect from {@code directUntil} to {@code endsAt}. */
    private static final class Probe {
        private final String target;
        private final long sequence;
        private final double directUntil;
        private final double endsAt;
        private int indirectProbes;
        private int nacks;
        private boolean indirect;

        Probe(String target, long sequence, double directUntil, double endsAt) {
            this.target = target;
            this.sequence = sequence;
            this.directUntil = directUntil;
            this.endsAt = endsAt;
        }

        double dueAt() {
            return indirect ? endsAt : directUntil;
        }
    }

    private final MembershipContext context;
    private final MemberList members;
    private final MemberStates states;
    private final UpdateGossip gossip;
    private final LocalMember local;
    private final LocalHealth health;
    private final RelayedProbes relayed;
    /** Members still to be probed in this pass, the next one last. */
    private final List<String> probeOrder = new ArrayList<>();
    private Probe probe;
    private double nextPeriodAt;

    FailureDetector(MembershipContext context, MemberList members, MemberStates states, UpdateGossip gossip,
        LocalMember local, LocalHealth health) {
        this.context = context;
        this.members = members;
        this.states = states;
        this.gossip = gossip;
        this.local = local;
        this.health = health;
        this.relayed = new RelayedProbes(context, gossip);
        // Full jitter spreads the first probes of instances that start at the same time.
        this.nextPeriodAt = context.now() + context.random().nextDouble() * context.settings().protocolPeriod();
    }

    // ---------------------------------------------------------------- time

    /** When the next protocol period begins. */
    double nextPeriodAt() {
        return nextPeriodAt;
    }

    /** When {@link #runDueProbes} is due, or infinity. */
    double nextProbeDueAt() {
        double relayedDueAt = relayed.nextDueAt();
        return probe == null ? relayedDueAt : Math.min(relayedDueAt, probe.dueAt());
    }

    /** Sends due nacks for relayed probes, and moves this instance's probe to its indirect stage or fails it. */
    void runDueProbes() {
        relayed.runDue();
        if (probe != null && !probe.indirect && context.now() >= probe.directUntil) {
            requestIndirectProbes();
        }
        if (probe != null && context.now() >= probe.endsAt) {
            failProbe();
        }
    }

    /** Begins a protocol period if one is due. */
    void runPeriodIfDue() {
        if (context.now() >= nextPeriodAt) {
            nextPeriodAt = context.now() + health.scale(context.settings().protocolPeriod());
            startProbe();
        }
    }

    /** Discards all running probes after a pause of this process, since their answers may have been missed. */
    void resumeAfterPause() {
        cancelProbe();
        relayed.clear();
        nextPeriodAt = Math.max(nextPeriodAt, context.now());
    }

    void cancelProbe() {
        probe = null;
    }

    // ---------------------------------------------------------------- this instance's probes

    private void startProbe() {
        if (probe != null) {
            return;                        // lengthened by local health, the previous probe is still running
        }
        String target = nextTarget();
        if (target == null) {
            return;
        }
        double timeout = health.scale(context.settings().probeTimeout());
        double period = health.scale(context.settings().protocolPeriod());
        probe = new Probe(target, context.nextSequence(), context.now() + timeout, context.now() + period);
        sendPing(target, probe.sequence);
    }

    /** The next member to probe: round-robin, shuffled after each pass (SWIM section 4.3). Null if none is present. */
    private String nextTarget() {
        while (true) {
            if (probeOrder.isEmpty()) {
                probeOrder.addAll(members.present());
                if (probeOrder.isEmpty()) {
                    return null;
                }
                context.shuffle(probeOrder);
            }
            String next = probeOrder.remove(probeOrder.size() - 1);
            if (members.isPresent(next)) {
                return next;
            }
        }
    }

    /** Pings a member. The ping tells a suspect of the suspicion, so that it can refute it (Lifeguard's buddy system). */
    private void sendPing(String target, long sequence) {
        MemberUpdate known = members.get(target);
        MemberUpdate first = known.state() == State.SUSPECT ? known : null;
        context.send(target, new Message.Ping(sequence, target, gossip.piggyback(first)));
    }

    private void requestIndirectProbes() {
        probe.indirect = true;
        List<String> relays = members.shuffledPresent(probe.target);
        for (String relay : relays.subList(0, Math.min(context.settings().indirectProbes(), relays.size()))) {
            probe.indirectProbes++;
            context.send(relay, new Message.PingRequest(probe.sequence, probe.target, gossip.piggyback()));
        }
    }

    private void failProbe() {
        Probe failed = probe;
        probe = null;
        // Lifeguard: a relay that sent no nack either suggests a fault in this instance's own network.
        health.add(1 + Math.max(0, failed.indirectProbes - failed.nacks));
        states.probeFailed(failed.target);
    }

    // ---------------------------------------------------------------- messages

    /** Handles the probe part of a message, whose updates the caller has applied before. */
    void received(String from, Message message) {
        message.accept(new Receiver(from));
    }

    /** Handles the messages of one sender; its methods return null. */
    private final class Receiver implements Message.Visitor<Void> {
        private final String from;

        Receiver(String from) {
            this.from = from;
        }

        @Override public Void ping(Message.Ping ping) {
            if (ping.target().equals(context.self()) && !local.isDisplaced()) {
                context.send(from, new Message.Ack(ping.sequence(), gossip.piggyback()));
            }
            return null;
        }

        @Override public Void pingRequest(Message.PingRequest request) {
            if (!local.isDisplaced() && members.isPresent(request.target()) && relayed.hasCapacity()) {
                sendPing(request.target(), relayed.start(from, request));
            }
            return null;
        }

        @Override public Void ack(Message.Ack ack) {
            if (!relayed.acknowledge(ack.sequence()) && probe != null && probe.sequence == ack.sequence()) {
                health.add(probe.indirect ? 0 : -1);
                probe = null;
            }
            return null;
        }

        @Override public Void nack(Message.Nack nack) {
            if (probe != null && probe.sequence == nack.sequence()) {
                probe.nacks++;
            }
            return null;
        }

        @Override public Void gossip(Message.Gossip updatesOnly) {
            return null;
        }
    }
}
