package kelphollow.overload;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which instance health-checks a node that does not respond: one at a time, so that the rate of attempts which the node sees
 * does not grow with the fleet. All others delegate, that is, send it no new requests.
 *
 * <p>Highest random weight (Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
 * Networking, 1998) over those that found the node unresponsive themselves and show that they try it: each reports how often
 * it has tried since, and one whose count stands still for the patience has no requests for the node, or is stopped or cut
 * off. An instance delegates only to one of a higher weight, and weights are the same for all. So whatever views they have,
 * also wrong ones, delegation forms no cycle, and at the end of each chain somebody tries.
 *
 * <p>For one thread. Memory: one record for each node and reporter.
 */
public final class ProbeDelegation {
    private record ReportKey(String node, String reporter) {}

    /** The last count of attempts in a report, and when it changed. */
    private record Progress(double attempts, double changedAt) {}

    private final String self;
    private final double patience;
    private Map<ReportKey, Progress> progress = new HashMap<>();
    private Map<String, String> healthCheckers = Map.of();

    /**
     * {@code patience}: milliseconds after which a count that stands still shows that nobody tries; several attempts'
     * time.
     */
    public ProbeDelegation(String self, double patience) {
        this.self = self;
        this.patience = patience;
    }

    /**
     * The nodes that this instance leaves to others to try. It delegates if it found the node unresponsive itself, or if two
     * others did: one alone may be faulty, or cut off from the node.
     *
     * @param present the other members that are present
     * @param reports of all instances, this one included
     */
    public Set<String> delegatedNodes(double now, Collection<String> present, List<AttemptReport> reports) {
        Map<String, Set<String>> reporters = recordProgress(now, present, reports);
        Set<String> delegated = new TreeSet<>();
        Map<String, String> chosen = new TreeMap<>();
        reporters.forEach((node, instances) -> {
            String checker = healthChecker(now, node, instances);
            if (checker != null) {
                chosen.put(node, checker);
                if (!checker.equals(self)) {
                    delegated.add(node);
                }
            }
        });
        healthCheckers = chosen;
        return delegated;
    }

    /** Returns the present reporters by node. */
    private Map<String, Set<String>> recordProgress(double now, Collection<String> present, List<AttemptReport> reports) {
        Map<String, Set<String>> reporters = new TreeMap<>();
        Map<ReportKey, Progress> current = new HashMap<>();
        Set<String> counted = new HashSet<>(present);
        counted.add(self);
        for (AttemptReport report : reports) {
            if (counted.contains(report.reporter())) {
                ReportKey key = new ReportKey(report.node(), report.reporter());
                Progress before = progress.get(key);
                boolean unchanged = before != null && before.attempts == report.attempts();
                current.put(key, unchanged ? before : new Progress(report.attempts(), now));
                reporters.computeIfAbsent(report.node(), n -> new TreeSet<>()).add(report.reporter());
            }
        }
        progress = current;
        return reporters;
    }

    /** Null if the reports are not enough to act on. */
    private String healthChecker(double now, String node, Set<String> reporters) {
        boolean foundHere = reporters.contains(self);
        if (!foundHere && reporters.size() < 2) {
            return null;
        }
        String best = foundHere ? self : null;
        for (String reporter : reporters) {
            boolean tries = now - progress.get(new ReportKey(node, reporter)).changedAt < patience;
            if (tries && (best == null || weight(node, reporter) > weight(node, best))) {
                best = reporter;
            }
        }
        return best;
    }

    /** The health checker of each unresponsive node, as this instance saw it last. */
    public Map<String, String> healthCheckers() {
        return healthCheckers;
    }

    /**
     * The same on all instances; equal weights are as unlikely as 64 bits make them and only cost a second health
     * checker.
     */
    static long weight(String node, String instance) {
        try {
            byte[] key = (node + '\0' + instance).getBytes(StandardCharsets.UTF_8);
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key);
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
