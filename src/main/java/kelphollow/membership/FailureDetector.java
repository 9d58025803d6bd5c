package kelphollow.membership;

import java.util.ArrayList;
import java.util.List;
import kelphollow.membership.MemberUpdate.State;

/**
 * SWIM's failure detector: the protocol period with a direct and indirect probes (section 3.1) of members in round-robin
 * order (section 4.3), and Lifeguard's local health (LHA-Probe) and buddy system.
 */
final class FailureDetector {
    /** The probe of this protocol period. */
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
        // Full jitter: instances start together.
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

    /** Nacks for relayed probes, the indirect stage of this instance's probe, and its end. */
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
            nextPeriodAt = context.now() + health.stretch(context.settings().protocolPeriod());
            startProbe();
        }
    }

    /** The process was paused: answers may have been missed, so no running probe counts. */
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
            return;                        // stretched by local health: the last one still has time
        }
        String target = nextTarget();
        if (target == null) {
            return;
        }
        double timeout = health.stretch(context.settings().probeTimeout());
        double period = health.stretch(context.settings().protocolPeriod());
        probe = new Probe(target, context.nextSequence(), context.now() + timeout, context.now() + period);
        sendPing(target, probe.sequence);
    }

    /** SWIM section 4.3: in round-robin order, shuffled after each pass. Null if no member is present. */
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

    /** Lifeguard's buddy system: a suspect learns of the suspicion with the very probe that may clear it. */
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
        // Lifeguard: a relay that did not even send a nack hints at a fault of this instance's own network.
        health.add(1 + Math.max(0, failed.indirectProbes - failed.nacks));
        states.probeFailed(failed.target);
    }

    // ---------------------------------------------------------------- messages

    /** Takes the probe part of a message; its updates have been applied before. */
    void received(String from, Message message) {
        message.accept(new Receiver(from));
    }

    /** One method a message kind; nothing is returned. */
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
