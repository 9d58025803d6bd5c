package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import kelphollow.digest.InstanceState;
import kelphollow.digest.Subject;
import kelphollow.membership.Membership;
import kelphollow.membership.MembershipOutput;
import kelphollow.membership.Message;
import kelphollow.protocol.peer.Packet;

/** One instance in {@link DisseminationWorld}, of the current or of the previous version. */
interface SimulatedPeer {
    interface Network {
        /** Sends a datagram; returns its size in bytes. */
        long send(String from, String to, Packet packet);

        void exchange(String from, String with, Packet.FullExchange ours);
    }

    Membership membership();

    void tickMembership(double now);

    /** Called every 50 ms. */
    void tickDissemination(double now);

    void publish(Subject subject, String key, double value);

    void withdraw(Subject subject, String key);

    /** Returns this peer's copy of an instance's state, or null if it has none or the copy has expired. */
    InstanceState state(String instance);

    void received(double now, String from, Packet packet);

    Packet.FullExchange exchangeRequested(double now, String from, Packet.FullExchange theirs);

    void exchangeAnswered(double now, String from, Packet.FullExchange theirs);

    /** Runs the production classes as {@link Fleet} does. */
    final class Current implements SimulatedPeer, Gossip.Outbound {
        private final String self;
        private final Gossip gossip;
        private final Network network;
        private boolean renews = true;

        Current(DisseminationWorld.Setup setup, String self, long epoch, List<String> peers, Random random, double now,
            Network network) {
            this.self = self;
            this.network = network;
            this.gossip = new Gossip(setup.membership(), setup.dissemination(), self, "10.0.0.1:10000", epoch, peers,
                setup.timeToLive(), random, now, this);
        }

        @Override public Membership membership() {
            return gossip.membership();
        }

        @Override public void tickMembership(double now) {
            gossip.tickMembership(now);
        }

        @Override public void tickDissemination(double now) {
            gossip.tickDissemination(now);
            if (!renews) {
                gossip.digest().expire(now + 1e9);        // planted fault: all states expire, as if never renewed
            }
        }

        void stopRenewing() {
            renews = false;
        }

        @Override public void publish(Subject subject, String key, double value) {
            gossip.digest().publish(subject, key, value);
        }

        @Override public void withdraw(Subject subject, String key) {
            gossip.digest().withdraw(subject, key);
        }

        @Override public InstanceState state(String instance) {
            return gossip.digest().state(instance);
        }

        @Override public void received(double now, String from, Packet packet) {
            if (packet instanceof Packet.Membership membership) {
                gossip.received(now, from, membership);
            } else if (packet instanceof Packet.Comparison comparison) {
                gossip.comparisonReceived(now, from, comparison.message());
            }
        }

        @Override public Packet.FullExchange exchangeRequested(double now, String from, Packet.FullExchange theirs) {
            return gossip.exchangeRequested(now, from, theirs);
        }

        @Override public void exchangeAnswered(double now, String from, Packet.FullExchange theirs) {
            gossip.exchangeAnswered(now, from, theirs);
        }

        @Override public long send(String to, Packet packet) {
            return network.send(self, to, packet);
        }

        @Override public void exchange(String with, Packet.FullExchange ours) {
            network.exchange(self, with, ours);
        }

        @Override public void membershipChanged(MembershipOutput output) {}

        @Override public void statesChanged() {}
    }

    /**
     * The previous version: sends fresh states to three members every 50 ms, four per datagram. Full exchanges carry all
     * states.
     */
    final class Previous implements SimulatedPeer {
        private static final int STATES_PER_DATAGRAM = 4;
        private final DisseminationWorld.Setup setup;
        private final String self;
        private final Membership membership;
        private final RenewingDigest digest;
        private final Random random;
        private final Network network;

        Previous(DisseminationWorld.Setup setup, String self, long epoch, List<String> peers, Random random, double now,
            Network network) {
            this.setup = setup;
            this.self = self;
            this.random = random;
            this.network = network;
            this.membership = new Membership(setup.membership(), self, "10.0.0.1:10000", epoch, peers, random, now);
            this.digest = new RenewingDigest(self, epoch, setup.timeToLive(), setup.membership().maxMembers());
        }

        @Override public Membership membership() {
            return membership;
        }

        @Override public void tickMembership(double now) {
            carryOut(now, membership.tick(now));
        }

        private void carryOut(double now, List<MembershipOutput> outputs) {
            for (MembershipOutput output : outputs) {
                if (output instanceof MembershipOutput.Send send) {
                    network.send(self, send.to(), new Packet.Membership(send.message(), digest.fresh(now,
                        STATES_PER_DATAGRAM)));
                } else if (output instanceof MembershipOutput.FullExchange exchange) {
                    network.exchange(self, exchange.peer(), full(now));
                } else if (output instanceof MembershipOutput.EpochRaised raised) {
                    digest.raiseEpoch(raised.epoch());
                }
            }
        }

        private Packet.FullExchange full(double now) {
            return new Packet.FullExchange(membership.snapshot(), digest.snapshot(now));
        }

        @Override public void tickDissemination(double now) {
            digest.expire(now);
            digest.commit(now);
            List<String> others = new ArrayList<>(membership.presentMembers());
            Collections.shuffle(others, random);
            for (String other : others.subList(0, Math.min(setup.membership().gossipFanout(), others.size()))) {
                if (digest.hasFresh()) {
                    network.send(self, other, new Packet.Membership(new Message.Gossip(List.of()),
                        digest.fresh(now, STATES_PER_DATAGRAM)));
                }
            }
        }

        @Override public void publish(Subject subject, String key, double value) {
            digest.publish(subject, key, value);
        }

        @Override public void withdraw(Subject subject, String key) {
            digest.withdraw(subject, key);
        }

        @Override public InstanceState state(String instance) {
            return digest.state(instance);
        }

        @Override public void received(double now, String from, Packet packet) {
            if (packet instanceof Packet.Membership piggyback) {
                digest.merge(now, piggyback.states());
                carryOut(now, membership.received(now, from, piggyback.message()));
            }
        }

        @Override public Packet.FullExchange exchangeRequested(double now, String from, Packet.FullExchange theirs) {
            Packet.FullExchange ours = full(now);
            exchangeAnswered(now, from, theirs);
            return ours;
        }

        @Override public void exchangeAnswered(double now, String from, Packet.FullExchange theirs) {
            digest.merge(now, theirs.states());
            carryOut(now, membership.merge(now, from, theirs.updates()));
        }
    }
}
