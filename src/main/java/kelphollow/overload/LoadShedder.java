package kelphollow.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who sheds what when a shard's node is asked for more than it bears. Each instance tells by shard the highest worth that it
 * had to turn away of late; where somebody turns away what is worth more, all instances admit less of what is worth less.
 * Without it an instance whose clients are worth little takes a node's room from one whose clients are worth much, since each
 * sees only its own queue.
 *
 * <p>The part that is admitted goes down and up by factors, once in the time that the claims take to show what it did (multiplicative
 * steps as in DAGOR, Zhou et al., SoCC 2018, on the part instead of the level). Which requests are in it goes by a lot that the
 * request itself carries, so that all instances admit the same (as DAGOR's user priority). Claims of an
 * instance that is gone fade with its part of the digest; without claims nothing is held back after some 8 s.
 *
 * <p>For one thread. Memory: a few numbers for each shard and worth that was met within a second.
 */
public final class LoadShedder {
    /** How often the parts move, in milliseconds. */
    public static final double STEP = 200;
    // Down once in the time in which a claim shows whether the step before was enough; up in proportion, since at ten times
    // what a node bears the part is a few hundredths; faster once no claim has come for some such times.
    static final double DOWN = 0.7, UP = 1.08, UP_CALM = 1.3, SMALLEST = 0.01;
    // What is told is of the last half second or whole one: long against a chance, short against a surge.
    private static final double MEMORY = 500;
    private static final double SETTLE = 2 * MEMORY + STEP, CALM = 2 * SETTLE;
    // A claim needs so many refusals, and this part of what was asked for at that worth: one late request is no overload.
    private static final int LEAST = 2;
    private static final double PART = 0.05;
    // What is worth nearly as much as what is turned away elsewhere does not give way: it would be no gain.
    private static final double LESS = 0.9;

    private static final class Asked {
        double since;
        int came, asked, rejected, cameBefore, askedBefore, refusedBefore;

        void turn(double now) {
            if (now - since >= MEMORY) {
                boolean follows = now - since < 2 * MEMORY;
                cameBefore = follows ? came : 0;
                askedBefore = follows ? asked : 0;
                refusedBefore = follows ? rejected : 0;
                came = asked = rejected = 0;
                since = now;
            }
        }

        /** Of all that came, a second. */
        double rate(double now) {
            return (came + cameBefore) / (now - since + MEMORY) * 1_000;
        }

        boolean claims() {
            int all = asked + askedBefore, lost = rejected + refusedBefore;
            return lost >= LEAST && lost >= PART * all;
        }
    }

    /**
     * Of what is worth less than {@code level}, a part of {@code of} requests a second is admitted: a rate, so that nothing is held
     * back any more once less is asked for, and no more gets through if still more is. When it last went down, and when a claim
     * last stood.
     */
    public record Cut(double level, double part, double of, double downAt, double claimedAt) {
        Cut grown(double now) {
            return new Cut(level, part * (now - claimedAt > CALM ? UP_CALM : UP), of, downAt, claimedAt);
        }

        /** The part of so many requests a second. */
        double partOf(double rate) {
            return rate <= 0 ? 1 : Math.min(1, part * of / rate);
        }
    }

    private final Map<Integer, TreeMap<Double, Asked>> met = new HashMap<>();
    private final Map<Integer, Cut> cuts = new TreeMap<>();
    private double steppedAt = Double.NEGATIVE_INFINITY;

    private Asked asked(double now, int shard, double worth) {
        Asked a = met.computeIfAbsent(shard, s -> new TreeMap<>()).computeIfAbsent(worth, w -> new Asked());
        a.turn(now);
        return a;
    }

    /** What is worth less than the level came to this instance at this rate of late. */
    private double below(double now, int shard, double level) {
        double rate = 0;
        for (Asked a : met.getOrDefault(shard, new TreeMap<>()).headMap(LESS * level, false).values()) {
            a.turn(now);
            rate += a.rate(now);
        }
        return rate;
    }

    /** Whether a request goes on to the module. {@code lot}: from 0 to 1, by the request itself. */
    public boolean admits(double now, int shard, double worth, double lot) {
        Asked asked = asked(now, shard, worth);
        asked.came++;
        Cut cut = cuts.get(shard);
        boolean admits = cut == null || worth >= LESS * cut.level || lot < cut.partOf(below(now, shard, cut.level));
        asked.asked += admits ? 1 : 0;
        return admits;
    }

    /** One that was admitted was turned away, having found no room at the shard's node. */
    public void rejected(double now, int shard, double worth) {
        asked(now, shard, worth).rejected++;
    }

    /** What this instance tells the others: by shard the highest worth that it turns away. */
    public Map<Integer, Double> claims(double now) {
        Map<Integer, Double> claims = new TreeMap<>();
        met.values().removeIf(worths -> {
            worths.values().forEach(a -> a.turn(now));
            worths.values().removeIf(a -> a.came + a.rejected + a.cameBefore + a.refusedBefore == 0);
            return worths.isEmpty();
        });
        met.forEach((shard, worths) -> worths.descendingMap().entrySet().stream().filter(e -> e.getValue().claims())
            .findFirst().ifPresent(e -> claims.put(shard, e.getKey())));
        return claims;
    }

    /** Moves the parts once a {@link #STEP}; {@code highest}: of all claims, this instance's included. True if a cut came or went. */
    public boolean step(double now, Map<Integer, Double> highest) {
        if (now - steppedAt < STEP) {
            return false;
        }
        steppedAt = now;
        Set<Integer> before = Set.copyOf(cuts.keySet());
        highest.forEach((shard, level) -> {
            Cut cut = cuts.get(shard);
            if (cut == null || level >= cut.level && now - cut.downAt >= SETTLE) {
                double rate = below(now, shard, level), part = cut == null ? 1 : cut.partOf(rate);
                cuts.put(shard, new Cut(level, Math.max(SMALLEST, part * DOWN), rate, now, now));
            } else if (level >= cut.level) {
                cuts.put(shard, new Cut(level, cut.part, cut.of, cut.downAt, now));
            }
        });
        // Where only what is worth less is turned away by now, what the cut was for is served: the part grows again.
        cuts.replaceAll((shard, cut) -> highest.getOrDefault(shard, 0.0) >= cut.level ? cut : cut.grown(now));
        cuts.values().removeIf(cut -> cut.part >= 1);
        return !before.equals(cuts.keySet());
    }

    /** The cuts as they stand, by shard. */
    public Map<Integer, Cut> cuts() {
        return cuts;
    }
}
