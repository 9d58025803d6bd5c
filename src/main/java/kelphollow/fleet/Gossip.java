package kelphollow.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.dissemination.Dissemination;
import kelphollow.membership.Membership;
import kelphollow.membership.Message;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Settings;
import kelphollow.protocol.peer.Packet;

/**
 * Membership, the digest and its dissemination, wired to each other but not to sockets or a core: what comes from others
 * goes in, what is to be sent goes out by the {@link Wire}. The simulation runs this class as the program does. For one
 * thread.
 */
final class Gossip {
    /** Who sends what this instance wants sent, and hears what happens. */
    interface Wire {
        /** Sends a datagram; returns what it cost, in bytes. */
        long send(String to, Packet packet);

        /** Begins a full exchange by a connection. */
        void exchange(String with, Packet.Full ours);

        /** Something in membership that is not for sending. */
        void happened(kelphollow.membership.Output output);

        /** What others say has changed. */
        void learned();
    }

    /** Parts beyond this size, in bytes, go by full exchanges, since no datagram holds them. */
    private static final int LARGE_PART = 6_000;
    // A full exchange's cost beside its parts and news, and of one news, in bytes, within some.
    private static final int EXCHANGE_BYTES = 400, NEWS_BYTES = 60;

    // How often membership renews parts, in milliseconds: well under the shortest fading.
    private static final double RENEW = 250;
    private final String self;
    private final Membership membership;
    private final Digest digest;
    private final Dissemination dissemination;
    private final Wire wire;
    private double renewAt;

    /** {@code peers}: names that are tried when nobody else is known; {@code fades}: see {@link Digest}. */
    Gossip(Settings settings, Dissemination.Settings telling, String self, String address, long epoch,
        Collection<String> peers, double fades, RandomGenerator random, double now, Wire wire) {
        this.self = self;
        this.wire = wire;
        this.membership = new Membership(settings, self, address, epoch, peers, random, now);
        this.digest = new Digest(self, epoch, fades, settings.mostMembers());
        this.dissemination = new Dissemination(telling, self, membership, digest, random, now);
    }

    Membership membership() {
        return membership;
    }

    Digest digest() {
        return digest;
    }

    // ---------------------------------------------------------------- time

    /** What membership has due; to be called at its {@code nextAt}. */
    void tick(double now) {
        carryOut(now, membership.tick(now));
    }

    /** To be called every few tens of milliseconds, and after a change of the own part that should be known at once. */
    void round(double now) {
        if (now >= renewAt) {
            renewAt = now + RENEW;
            renew(now);
        }
        dissemination.publish(now);
        post(now, dissemination.round(now));
    }

    /** What those say that live counts on; what the others said fades. */
    private void renew(double now) {
        for (MemberUpdate n : membership.all()) {
            if (n.state() == MemberUpdate.State.ALIVE) {
                digest.renew(now, n.name(), n.epoch());
            } else {
                digest.lapse(n.name());
            }
        }
        digest.fade(now);
    }

    /** Says good-bye. */
    void leave(double now) {
        carryOut(now, membership.leave(now));
    }

    private void carryOut(double now, List<kelphollow.membership.Output> outputs) {
        for (kelphollow.membership.Output output : outputs) {
            if (output instanceof kelphollow.membership.Output.Send send) {
                List<InstanceState> parts = dissemination.onBack(now);
                dissemination.sent(now, wire.send(send.to(), new Packet.Small(send.message(), parts)));
            } else if (output instanceof kelphollow.membership.Output.Exchange exchange) {
                exchange(now, exchange.with());
            } else {
                if (output instanceof kelphollow.membership.Output.Raised raised) {
                    digest.raise(raised.epoch());
                }
                wire.happened(output);
            }
        }
    }

    /** With members that are seen, views are compared by summaries; who is not is given all by a connection. */
    private void exchange(double now, String with) {
        if (membership.isPresent(with) && !holdsLargeParts()) {
            return;
        }
        if (dissemination.allowsExchange(now)) {
            wire.exchange(with, full(now, false));
        }
    }

    private boolean holdsLargeParts() {
        boolean[] large = new boolean[1];
        digest.each(0, (part, age) -> large[0] |= part.estimatedBytes() > LARGE_PART);
        return large[0];
    }

    private void post(double now, List<kelphollow.dissemination.Output> outputs) {
        for (kelphollow.dissemination.Output output : outputs) {
            Packet packet;
            if (output instanceof kelphollow.dissemination.Output.Compare compare) {
                packet = new Packet.Compare(compare.message());
            } else {
                packet = new Packet.Small(new Message.Gossip(List.of()),
                    ((kelphollow.dissemination.Output.Tell) output).parts());
            }
            dissemination.sent(now, wire.send(output.to(), packet));
        }
    }

    // ---------------------------------------------------------------- what comes

    void small(double now, String from, Packet.Small packet) {
        learn(now, packet.parts());
        carryOut(now, membership.received(now, from, packet.message()));
    }

    void compared(double now, String from, AntiEntropy message) {
        post(now, dissemination.answer(now, from, message));
        if (message instanceof AntiEntropy.Delta delta) {
            learn(now, delta.parts());
            if (!delta.news().isEmpty()) {
                carryOut(now, membership.told(now, from, delta.news()));
            }
        }
    }

    /** The other side of an exchange; returns this one's. */
    Packet.Full asked(double now, String from, Packet.Full theirs) {
        // An instance of the version before tells all parts in an exchange and learns of most only by one.
        Packet.Full ours = full(now, theirs.parts().size() > 1);
        answered(now, from, theirs);
        return ours;
    }

    void answered(double now, String from, Packet.Full theirs) {
        learn(now, theirs.parts());
        carryOut(now, membership.told(now, from, theirs.news()));
    }

    private Packet.Full full(double now, boolean allParts) {
        List<InstanceState> parts = new ArrayList<>();
        for (InstanceState part : digest.all(now)) {
            if (allParts || part.instance().equals(self) || part.estimatedBytes() > LARGE_PART) {
                parts.add(part);
            }
        }
        // In debt this side tells of itself alone: that it is there is what the other must know first.
        List<MemberUpdate> news = dissemination.allowsExchange(now) ? membership.all() : membership.all().subList(0, 1);
        dissemination.sent(now, EXCHANGE_BYTES + (long) NEWS_BYTES * news.size()
            + parts.stream().mapToLong(InstanceState::estimatedBytes).sum());
        return new Packet.Full(news, parts);
    }

    private void learn(double now, List<InstanceState> parts) {
        if (dissemination.heard(now, parts)) {
            wire.learned();
            // What is urgent goes on at once: a round's wait at each hop would be most of the time it takes.
            if (dissemination.hasUrgent()) {
                post(now, dissemination.round(now));
            }
        }
    }
}
