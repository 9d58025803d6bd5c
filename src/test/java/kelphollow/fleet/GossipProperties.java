package kelphollow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import kelphollow.dissemination.Dissemination;
import kelphollow.membership.MembershipOutput;
import kelphollow.membership.MembershipSettings;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PacketSizes;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Whatever order, loss and duplicates: once packets pass, all hold the same of each other. */
class GossipProperties {
    private static final int SIZE = 5;
    private static final double STEP = 25;

    private record Sent(String from, String to, Packet packet) {}

    private final List<Gossip> all = new ArrayList<>();
    private final Deque<Sent> way = new ArrayDeque<>();
    private Random random;
    private double now;

    private final class End implements Gossip.Wire {
        private final String self;

        End(String self) {
            this.self = self;
        }

        @Override public long send(String to, Packet packet) {
            way.add(new Sent(self, to, packet));
            return 100 + PacketSizes.of(packet);
        }

        @Override public void exchange(String with, Packet.Full ours) {
            Gossip other = at(with);
            Packet.Full theirs = other.asked(now, self, ours);
            at(self).answered(now, with, theirs);
        }

        @Override public void happened(MembershipOutput output) {}

        @Override public void learned() {}
    }

    private Gossip at(String name) {
        return all.get(name.charAt(0) - 'a');
    }

    private void start(long seed) {
        random = new Random(seed);
        all.clear();
        way.clear();
        now = 0;
        for (int i = 0; i < SIZE; i++) {
            String name = String.valueOf((char) ('a' + i));
            all.add(new Gossip(MembershipSettings.DEFAULTS, Dissemination.Settings.USUAL, name, "x:1", 1, List.of("a", "b"),
                10_000,
                new Random(random.nextLong()), 0, new End(name)));
        }
    }

    private void step(double loss, double twice) {
        now += STEP;
        for (Gossip g : all) {
            if (g.membership().nextTickAt() <= now) g.tick(now);
            g.round(now);
        }
        for (int due = way.size(); due > 0; due--) {
            Sent sent = way.poll();
            if (random.nextDouble() < 0.3) {
                way.add(sent);                          // it is overtaken
                continue;
            }
            if (random.nextDouble() < twice) way.add(sent);
            if (random.nextDouble() >= loss) deliver(sent);
        }
    }

    private void deliver(Sent sent) {
        Packet packet = PacketSizes.readBack(sent.packet);
        if (packet instanceof Packet.Small small) {
            at(sent.to).small(now, sent.from, small);
        } else {
            at(sent.to).compared(now, sent.from, ((Packet.Compare) packet).message());
        }
    }

    @Property(tries = 30) void allHoldTheSameOnceTheNetIsWhole(@ForAll long seed,
        @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 9) Integer> changes) {
        start(seed);
        for (int change : changes) {
            Gossip who = all.get(change % SIZE);
            if (change < SIZE) {
                who.digest().say("drain", "n" + random.nextInt(4), random.nextInt(3));
            } else {
                who.digest().unsay("drain", "n" + random.nextInt(4));
            }
            step(0.4, 0.2);
        }
        for (int i = 0; i < 400; i++) {
            step(0, 0.1);
        }
        Map<String, Long> versions = versions(all.get(0));
        assertEquals(SIZE, versions.size(), "seed " + seed);
        for (Gossip g : all) {
            assertEquals(versions, versions(g), "seed " + seed);
        }
    }

    private Map<String, Long> versions(Gossip gossip) {
        Map<String, Long> versions = new TreeMap<>();
        gossip.digest().each(now, (part, age) -> versions.put(part.instance(), part.version()));
        return versions;
    }
}
