package kelphollow.fleet;

import kelphollow.digest.InstanceState;
import kelphollow.membership.Membership;
import kelphollow.protocol.peer.Packet;

/** One instance in {@link DisseminationWorld}: of this version or of the one before. */
interface Player {
    /** Sends for a player; returns the bytes. */
    interface Net {
        long send(String from, String to, Packet packet);

        void exchange(String from, String with, Packet.Full ours);
    }

    Membership membership();

    void tick(double now);

    /** Every 50 ms. */
    void look(double now);

    void say(String subject, String key, double figure);

    void unsay(String subject, String key);

    /** Its part of one instance that counts, or null. */
    InstanceState part(String instance);

    void received(double now, String from, Packet packet);

    Packet.Full asked(double now, String from, Packet.Full theirs);

    void answered(double now, String from, Packet.Full theirs);

    /** The production classes as {@link Fleet} runs them. */
    final class Now implements Player, Gossip.Wire {
        private final String self;
        private final Gossip gossip;
        private final Net net;
        private boolean renews = true;

        Now(DisseminationWorld.Setup setup, String self, long epoch, java.util.List<String> peers, java.util.Random random,
            double now, Net net) {
            this.self = self;
            this.net = net;
            this.gossip = new Gossip(setup.membership(), setup.telling(), self, "10.0.0.1:10000", epoch, peers, setup
                .fades(),
                random, now, this);
        }

        @Override public Membership membership() {
            return gossip.membership();
        }

        @Override public void tick(double now) {
            gossip.tick(now);
        }

        @Override public void look(double now) {
            gossip.round(now);
            if (!renews) {
                gossip.digest().fade(now + 1e9);        // planted: as if nobody's word had been renewed
            }
        }

        void stopRenewing() {
            renews = false;
        }

        @Override public void say(String subject, String key, double figure) {
            gossip.digest().say(subject, key, figure);
        }

        @Override public void unsay(String subject, String key) {
            gossip.digest().unsay(subject, key);
        }

        @Override public InstanceState part(String instance) {
            return gossip.digest().part(instance);
        }

        @Override public void received(double now, String from, Packet packet) {
            if (packet instanceof Packet.Small small) {
                gossip.small(now, from, small);
            } else if (packet instanceof Packet.Compare compare) {
                gossip.compared(now, from, compare.message());
            }
        }

        @Override public Packet.Full asked(double now, String from, Packet.Full theirs) {
            return gossip.asked(now, from, theirs);
        }

        @Override public void answered(double now, String from, Packet.Full theirs) {
            gossip.answered(now, from, theirs);
        }

        @Override public long send(String to, Packet packet) {
            return net.send(self, to, packet);
        }

        @Override public void exchange(String with, Packet.Full ours) {
            net.exchange(self, with, ours);
        }

        @Override public void happened(kelphollow.membership.Output output) {}

        @Override public void learned() {}
    }

    /** The version before: fresh parts to three members every 50 ms, four a datagram; full exchanges carry all. */
    final class Before implements Player {
        private static final int PARTS = 4;
        private final DisseminationWorld.Setup setup;
        private final String self;
        private final Membership membership;
        private final RenewingDigest digest;
        private final java.util.Random random;
        private final Net net;

        Before(DisseminationWorld.Setup setup, String self, long epoch, java.util.List<String> peers,
            java.util.Random random,
            double now, Net net) {
            this.setup = setup;
            this.self = self;
            this.random = random;
            this.net = net;
            this.membership = new Membership(setup.membership(), self, "10.0.0.1:10000", epoch, peers, random, now);
            this.digest = new RenewingDigest(self, epoch, setup.fades(), setup.membership().mostMembers());
        }

        @Override public Membership membership() {
            return membership;
        }

        @Override public void tick(double now) {
            carryOut(now, membership.tick(now));
        }

        private void carryOut(double now, java.util.List<kelphollow.membership.Output> outputs) {
            for (kelphollow.membership.Output output : outputs) {
                if (output instanceof kelphollow.membership.Output.Send send) {
                    net.send(self, send.to(), new Packet.Small(send.message(), digest.fresh(now, PARTS)));
                } else if (output instanceof kelphollow.membership.Output.Exchange exchange) {
                    net.exchange(self, exchange.with(), full(now));
                } else if (output instanceof kelphollow.membership.Output.Raised raised) {
                    digest.raise(raised.epoch());
                }
            }
        }

        private Packet.Full full(double now) {
            return new Packet.Full(membership.all(), digest.all(now));
        }

        @Override public void look(double now) {
            digest.fade(now);
            digest.publish(now);
            java.util.List<String> others = new java.util.ArrayList<>(membership.present());
            java.util.Collections.shuffle(others, random);
            for (String other : others.subList(0, Math.min(setup.membership().fanout(), others.size()))) {
                if (digest.hasFresh()) {
                    net.send(self, other, new Packet.Small(new kelphollow.membership.Message.Gossip(java.util.List.of()),
                        digest.fresh(now, PARTS)));
                }
            }
        }

        @Override public void say(String subject, String key, double figure) {
            digest.say(subject, key, figure);
        }

        @Override public void unsay(String subject, String key) {
            digest.unsay(subject, key);
        }

        @Override public InstanceState part(String instance) {
            return digest.part(instance);
        }

        @Override public void received(double now, String from, Packet packet) {
            if (packet instanceof Packet.Small small) {
                digest.merge(now, small.parts());
                carryOut(now, membership.received(now, from, small.message()));
            }
        }

        @Override public Packet.Full asked(double now, String from, Packet.Full theirs) {
            Packet.Full ours = full(now);
            answered(now, from, theirs);
            return ours;
        }

        @Override public void answered(double now, String from, Packet.Full theirs) {
            digest.merge(now, theirs.parts());
            carryOut(now, membership.told(now, from, theirs.news()));
        }
    }
}
