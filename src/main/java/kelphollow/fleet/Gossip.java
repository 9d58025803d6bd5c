package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.dissemination.Dissemination;
import kelphollow.dissemination.DisseminationOutput;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Membership;
import kelphollow.membership.MembershipOutput;
import kelphollow.membership.MembershipSettings;
import kelphollow.membership.Message;
import kelphollow.protocol.peer.Packet;

/**
 * Wires membership, the digest and its dissemination to each other, without sockets or routing: takes packets from other
 * instances and sends packets to them through {@link Outbound}. The simulation and the program run the same class. Not
 * thread-safe.
 */
final class Gossip {
    /** Sends this instance's packets and is notified of changes. */
    interface Outbound {
        /** Sends a datagram; returns its cost in bytes. */
        long send(String to, Packet packet);

        /** Starts a full exchange over a connection. */
        void exchange(String with, Packet.FullExchange ours);

        /** Handles a membership output that is not sent to another instance. */
        void membershipChanged(MembershipOutput output);

        /** Called after states of other instances have changed. */
        void statesChanged();
    }

    /** Larger states are sent in full exchanges, since they do not fit in a datagram. */
    private static final int LARGE_STATE_BYTES = 6_000;
    // Approximate cost of a full exchange without its states and updates, and of one update.
    private static final int EXCHANGE_BYTES = 400;
    private static final int UPDATE_BYTES = 60;
    // Interval at which membership renews states: well below the shortest time to live.
    private static final double RENEWAL_INTERVAL_MS = 250;

    private final String self;
    private final Membership membership;
    private final Digest digest;
    private final Dissemination dissemination;
    private final Outbound outbound;
    private double nextRenewalAt;

    /**
     * @param peers names of instances to contact when no other is known
     * @param timeToLive see {@link Digest}
     */
    Gossip(MembershipSettings membershipSettings, DisseminationSettings disseminationSettings, String self, String address,
        long epoch, Collection<String> peers, double timeToLive, RandomGenerator random, double now, Outbound outbound) {
        this.self = self;
        this.outbound = outbound;
        this.membership = new Membership(membershipSettings, self, address, epoch, peers, random, now);
        this.digest = new Digest(self, epoch, timeToLive, membershipSettings.maxMembers());
        this.dissemination = new Dissemination(disseminationSettings, self, membership, digest, random, now);
    }

    Membership membership() {
        return membership;
    }

    Digest digest() {
        return digest;
    }

    // ---------------------------------------------------------------- time

    /** Runs due membership work; must be called at {@link Membership#nextTickAt}. */
    void tickMembership(double now) {
        carryOut(now, membership.tick(now));
    }

    /**
     * Renews, commits and sends states; must be called every few tens of milliseconds, and after a change to this instance's
     * state that others should learn immediately.
     */
    void tickDissemination(double now) {
        if (now >= nextRenewalAt) {
            nextRenewalAt = now + RENEWAL_INTERVAL_MS;
            renewStates(now);
        }
        dissemination.commit(now);
        sendAll(now, dissemination.tick(now));
    }

    /** Renews the states of members that are alive; all other states expire. */
    private void renewStates(double now) {
        for (MemberUpdate member : membership.snapshot()) {
            if (member.state() == MemberUpdate.State.ALIVE) {
                digest.renew(now, member.name(), member.epoch());
            } else {
                digest.stopRenewing(member.name());
            }
        }
        digest.expire(now);
    }

    /** Leaves the fleet gracefully. */
    void leave(double now) {
        carryOut(now, membership.leave(now));
    }

    private void carryOut(double now, List<MembershipOutput> outputs) {
        for (MembershipOutput output : outputs) {
            if (output instanceof MembershipOutput.Send send) {
                List<InstanceState> states = dissemination.piggyback(now);
                dissemination.sent(now, outbound.send(send.to(), new Packet.Membership(send.message(), states)));
            } else if (output instanceof MembershipOutput.FullExchange exchange) {
                startExchange(now, exchange.peer());
            } else {
                if (output instanceof MembershipOutput.EpochRaised raised) {
                    digest.raiseEpoch(raised.epoch());
                }
                outbound.membershipChanged(output);
            }
        }
    }

    /** Starts a full exchange with an absent member, or if there are large states; other views are compared by summaries. */
    private void startExchange(double now, String with) {
        if (membership.isPresent(with) && !hasLargeStates()) {
            return;
        }
        if (dissemination.allowsExchange(now)) {
            outbound.exchange(with, fullExchange(now, false));
        }
    }

    private boolean hasLargeStates() {
        return digest.states().stream().anyMatch(Gossip::isLarge);
    }

    private static boolean isLarge(InstanceState state) {
        return state.estimatedBytes() > LARGE_STATE_BYTES;
    }

    private void sendAll(double now, List<DisseminationOutput> outputs) {
        for (DisseminationOutput output : outputs) {
            dissemination.sent(now, outbound.send(output.to(), packetOf(output)));
        }
    }

    private static Packet packetOf(DisseminationOutput output) {
        if (output instanceof DisseminationOutput.SendComparison comparison) {
            return new Packet.Comparison(comparison.message());
        }
        return new Packet.Membership(new Message.Gossip(List.of()), ((DisseminationOutput.SendStates) output).states());
    }

    // ---------------------------------------------------------------- input

    /** Handles a membership message with piggybacked states. */
    void received(double now, String from, Packet.Membership packet) {
        mergeStates(now, packet.states());
        carryOut(now, membership.received(now, from, packet.message()));
    }

    /** Handles a step of a comparison of views. */
    void comparisonReceived(double now, String from, AntiEntropy message) {
        sendAll(now, dissemination.answer(now, from, message));
        if (message instanceof AntiEntropy.Delta delta) {
            mergeStates(now, delta.states());
            if (!delta.updates().isEmpty()) {
                carryOut(now, membership.merge(now, from, delta.updates()));
            }
        }
    }

    /** Handles a full exchange that {@code from} started and returns this side's part. */
    Packet.FullExchange exchangeRequested(double now, String from, Packet.FullExchange theirs) {
        // An instance of the previous version sends all states in an exchange, and learns most states only from exchanges.
        Packet.FullExchange ours = fullExchange(now, theirs.states().size() > 1);
        exchangeAnswered(now, from, theirs);
        return ours;
    }

    /** Handles the other side's part of an exchange that this instance started. */
    void exchangeAnswered(double now, String from, Packet.FullExchange theirs) {
        mergeStates(now, theirs.states());
        carryOut(now, membership.merge(now, from, theirs.updates()));
    }

    private Packet.FullExchange fullExchange(double now, boolean allStates) {
        List<InstanceState> states = new ArrayList<>();
        for (InstanceState state : digest.snapshot(now)) {
            if (allStates || state.instance().equals(self) || isLarge(state)) {
                states.add(state);
            }
        }
        // Over budget, this side sends only its own update: its presence is what the other side must learn first.
        List<MemberUpdate> snapshot = membership.snapshot();
        List<MemberUpdate> updates = dissemination.allowsExchange(now) ? snapshot : snapshot.subList(0, 1);
        dissemination.sent(now, EXCHANGE_BYTES + (long) UPDATE_BYTES * updates.size()
            + states.stream().mapToLong(InstanceState::estimatedBytes).sum());
        return new Packet.FullExchange(updates, states);
    }

    private void mergeStates(double now, List<InstanceState> states) {
        if (dissemination.received(now, states)) {
            outbound.statesChanged();
            // Forward urgent changes immediately: waiting a round at each hop would be most of their propagation delay.
            if (dissemination.hasUrgent()) {
                sendAll(now, dissemination.tick(now));
            }
        }
    }
}
