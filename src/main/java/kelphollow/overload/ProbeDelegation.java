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
 * Selects the one instance that health-checks an unresponsive node, so that the rate of attempts at the node does not grow
 * with the fleet. All other instances delegate to it, that is, send the node no new requests.
 *
 * <p>The health checker is chosen by highest random weight (Thaler, Ravishankar: "Using name-based mappings to increase hit
 * rates", IEEE/ACM Transactions on Networking, 1998) among the instances that found the node unresponsive themselves and are
 * still attempting it. Each reports its number of attempts since then; an instance whose count does not change within the
 * progress timeout has no requests for the node, is stopped, or is partitioned. An instance delegates only to one with a
 * higher weight, and all instances compute the same weights. Delegation therefore never forms a cycle, even when the
 * instances' views differ or are wrong, and the last instance of each chain attempts the node.
 *
 * <p>Not thread-safe. Memory: one record for each node and reporter.
 */
public final class ProbeDelegation {
    private record ReportKey(String node, String reporter) {}

    /** The attempt count of the last report, and when it last changed. */
    private record Progress(double attempts, double changedAt) {}

    private final String self;
    private final double progressTimeout;
    private Map<ReportKey, Progress> progress = new HashMap<>();
    private Map<String, String> healthCheckers = Map.of();

    /**
     * Creates the delegation state of one instance.
     *
     * @param progressTimeout milliseconds after which an unchanged attempt count shows that its reporter no longer attempts
     *     the node; must cover several attempts
     */
    public ProbeDelegation(String self, double progressTimeout) {
        this.self = self;
        this.progressTimeout = progressTimeout;
    }

    /**
     * Returns the nodes whose health check this instance delegates to others. It delegates a node that it found unresponsive
     * itself, or that two others did: a single other instance may be faulty, or partitioned from the node.
     *
     * @param present the other members that are present
     * @param reports reports of all instances, including this one
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

    /** Updates the progress of all reporters and returns the present reporters by node. */
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

    /** Returns the health checker of a node, or null if there are too few reports to delegate. */
    private String healthChecker(double now, String node, Set<String> reporters) {
        boolean foundBySelf = reporters.contains(self);
        if (!foundBySelf && reporters.size() < 2) {
            return null;
        }
        String best = foundBySelf ? self : null;
        for (String reporter : reporters) {
            boolean stillAttempting = now - progress.get(new ReportKey(node, reporter)).changedAt < progressTimeout;
            if (stillAttempting && (best == null || weight(node, reporter) > weight(node, best))) {
                best = reporter;
            }
        }
        return best;
    }

    /** Returns the health checker of each unresponsive node, as of the last {@link #delegatedNodes}. */
    public Map<String, String> healthCheckers() {
        return healthCheckers;
    }

    /**
     * Returns the weight of an instance for a node, which is the same on all instances. Two equal 64-bit weights are
     * unlikely, and would only add a second health checker.
     */
    static long weight(String node, String instance) {
        try {
            byte[] key = (node + '\0' + instance).getBytes(StandardCharsets.UTF_8);
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key);
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, although every JDK must provide it", e);
        }
    }
}
