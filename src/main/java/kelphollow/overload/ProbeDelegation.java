package kelphollow.overload;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Who tries a node that does not answer: one instance at a time, so that the rate of trials which the node sees does not
 * grow with the fleet. All others rest, that is, send it nothing new.
 *
 * <p>Highest random weight (Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
 * Networking, 1998) over those that found the node silent themselves and show that they try it: each tells how often it has
 * tried since, and whoever's figure stands still for the patience has no requests for the node, or is stopped or cut off. An
 * instance rests only for one of a higher weight, and weights are the same for all. So whatever views they have, also wrong
 * ones, the resting form no circle, and at the end of each chain somebody tries.
 *
 * <p>For one thread. Memory: one record for each node and instance that is told.
 */
public final class ProbeDelegation {
    private record Claim(String node, String instance) {}

    private static final class Trials {
        double figure = Double.NaN, movedAt;
    }

    private final String self;
    private final double patience;
    private final Map<Claim, Trials> trials = new HashMap<>();
    private Map<String, String> probers = Map.of();

    /** {@code patience}: milliseconds after which a figure that stands still shows that nobody tries; several trials' time. */
    public ProbeDelegation(String self, double patience) {
        this.self = self;
        this.patience = patience;
    }

    /**
     * The nodes that this instance leaves to others to try. It rests if it found the node silent itself, or if two others
     * did: one alone may be ill, or cut off from the node.
     *
     * @param present the others that are seen alive
     * @param said by instance, this one included, and node: how often the instance has tried the node since it found it silent
     */
    public Set<String> rested(double now, Collection<String> present, Map<String, Map<String, Double>> said) {
        Map<String, Set<String>> by = new TreeMap<>();
        Set<Claim> standing = new HashSet<>();
        said.forEach((instance, nodes) -> {
            if (instance.equals(self) || present.contains(instance)) {
                nodes.forEach((node, figure) -> {
                    Claim claim = new Claim(node, instance);
                    standing.add(claim);
                    Trials t = trials.computeIfAbsent(claim, c -> new Trials());
                    if (t.figure != figure) {
                        t.figure = figure;
                        t.movedAt = now;
                    }
                    by.computeIfAbsent(node, n -> new TreeSet<>()).add(instance);
                });
            }
        });
        trials.keySet().retainAll(standing);
        Set<String> rested = new TreeSet<>();
        Map<String, String> chosen = new TreeMap<>();
        by.forEach((node, instances) -> {
            boolean own = instances.contains(self);
            if (own || instances.size() > 1) {
                String prober = own ? self : null;
                for (String i : instances) {
                    boolean tries = now - trials.get(new Claim(node, i)).movedAt < patience;
                    if (tries && (prober == null || weight(node, i) > weight(node, prober))) prober = i;
                }
                if (prober != null) {
                    chosen.put(node, prober);
                    if (!prober.equals(self)) rested.add(node);
                }
            }
        });
        probers = chosen;
        return rested;
    }

    /** Who tries each silent node, as this instance saw it last. */
    public Map<String, String> probers() {
        return probers;
    }

    /** The same for all instances; equal weights are as unlikely as 64 bits make them and only cost a second prober. */
    static long weight(String node, String instance) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest((node + '\0' + instance).getBytes(
                StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // each JDK has it
        }
    }
}
