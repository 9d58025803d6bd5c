package kelphollow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import kelphollow.digest.Subject;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.membership.MembershipOutput;
import kelphollow.membership.MembershipSettings;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PacketSizes;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** After any reordering, loss and duplication, all instances converge to the same states once packets are delivered. */
class GossipProperties {
    private static final int SIZE = 5;
    private static final double STEP_MS = 25;

    private record Sent(String from, String to, Packet packet) {}

    private final List<Gossip> all = new ArrayList<>();
    private final Deque<Sent> inFlight = new ArrayDeque<>();
    private Random random;
    private double now;

    private final class Endpoint implements Gossip.Outbound {
        private final String self;

        Endpoint(String self) {
            this.self = self;
        }

        @Override public long send(String to, Packet packet) {
            inFlight.add(new Sent(self, to, packet));
            return 100 + PacketSizes.of(packet);
        }

        @Override public void exchange(String with, Packet.FullExchange ours) {
            Gossip other = at(with);
            Packet.FullExchange theirs = other.exchangeRequested(now, self, ours);
            at(self).exchangeAnswered(now, with, theirs);
        }

        @Override public void membershipChanged(MembershipOutput output) {}

        @Override public void statesChanged() {}
    }

    private Gossip at(String name) {
        return all.get(name.charAt(0) - 'a');
    }

    private void start(long seed) {
        random = new Random(seed);
        all.clear();
        inFlight.clear();
        now = 0;
        for (int i = 0; i < SIZE; i++) {
            String name = String.valueOf((char) ('a' + i));
            all.add(new Gossip(MembershipSettings.DEFAULTS, DisseminationSettings.DEFAULTS, name, "x:1", 1, List.of("a",
                "b"),
                10_000,
                new Random(random.nextLong()), 0, new Endpoint(name)));
        }
    }

    private void step(double loss, double duplication) {
        now += STEP_MS;
        for (Gossip gossip : all) {
            if (gossip.membership().nextTickAt() <= now) {
                gossip.tickMembership(now);
            }
            gossip.tickDissemination(now);
        }
        for (int due = inFlight.size(); due > 0; due--) {
            Sent sent = inFlight.poll();
            if (random.nextDouble() < 0.3) {
                inFlight.add(sent);                          // delivered later than newer packets
                continue;
            }
            if (random.nextDouble() < duplication) {
                inFlight.add(sent);
            }
            if (random.nextDouble() >= loss) {
                deliver(sent);
            }
        }
    }

    private void deliver(Sent sent) {
        Packet packet = PacketSizes.roundTrip(sent.packet);
        if (packet instanceof Packet.Membership membership) {
            at(sent.to).received(now, sent.from, membership);
        } else {
            at(sent.to).comparisonReceived(now, sent.from, ((Packet.Comparison) packet).message());
        }
    }

    @Property(tries = 30) void allHaveTheSameStatesOnceTheNetworkDelivers(@ForAll long seed,
        @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 9) Integer> changes) {
        start(seed);
        for (int change : changes) {
            Gossip publisher = all.get(change % SIZE);
            if (change < SIZE) {
                publisher.digest().publish(Subject.DRAIN, "n" + random.nextInt(4), random.nextInt(3));
            } else {
                publisher.digest().withdraw(Subject.DRAIN, "n" + random.nextInt(4));
            }
            step(0.4, 0.2);
        }
        for (int i = 0; i < 400; i++) {
            step(0, 0.1);
        }
        Map<String, Long> versions = versions(all.get(0));
        assertEquals(SIZE, versions.size(), "seed " + seed);
        for (Gossip gossip : all) {
            assertEquals(versions, versions(gossip), "seed " + seed);
        }
    }

    private Map<String, Long> versions(Gossip gossip) {
        Map<String, Long> versions = new TreeMap<>();
        gossip.digest().forEach(now, (state, age) -> versions.put(state.instance(), state.version()));
        return versions;
    }
}
