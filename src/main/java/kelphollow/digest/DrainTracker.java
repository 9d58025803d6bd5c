package kelphollow.digest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which nodes are draining according to other instances. A drain notice of one instance applies to all until newer
 * information from discovery overrides it: the reporter withdraws the notice, or this instance's own discovery reports that
 * the node was started again, or ends a drain after the notice arrived. Not thread-safe.
 */
public final class DrainTracker {
    /** How long a removed node is reported as draining: longer than endpoint lists are late. */
    private static final double REMOVED_NODE_RETENTION_MS = 60_000;

    /** What this instance's own discovery reports of a node. */
    private static final class DiscoveredNode {
        private boolean draining;
        private double startedAt;
        private double drainEndedAt = Double.NEGATIVE_INFINITY;
        private double removedAt = Double.NaN;

        boolean hasExpired(double now) {
            return now - removedAt > REMOVED_NODE_RETENTION_MS;
        }

        boolean overrides(DrainNotice notice, double receivedAt) {
            return startedAt > notice.startedAt() || drainEndedAt > receivedAt;
        }
    }

    private final String self;
    private final Map<String, DiscoveredNode> discovered = new HashMap<>();
    private Map<DrainNotice, Double> receivedAt = new HashMap<>();

    /** {@code self}: name of this instance, whose own notices are ignored. */
    public DrainTracker(String self) {
        this.self = self;
    }

    /** Handles a report of this instance's own discovery on a node, and publishes or withdraws the notice accordingly. */
    public void discovered(double now, String node, boolean draining, boolean removed, double startedAt, Digest digest) {
        DiscoveredNode known = discovered.computeIfAbsent(node, n -> new DiscoveredNode());
        if (known.draining && !draining) {
            known.drainEndedAt = now;
        }
        known.draining = draining || removed;
        known.startedAt = startedAt;
        known.removedAt = removed ? now : Double.NaN;
        if (known.draining) {
            digest.publish(Subject.DRAIN, node, startedAt);
        } else {
            digest.withdraw(Subject.DRAIN, node);
        }
    }

    /** The nodes that must get no new requests according to the notices of other instances. */
    public Set<String> drainingByOthers(double now, Digest digest) {
        withdrawRemovedNodes(now, digest);
        Map<DrainNotice, Double> current = new HashMap<>();
        for (DrainNotice notice : digest.drainNotices(now)) {
            if (!notice.reporter().equals(self)) {
                current.put(notice, receivedAt.getOrDefault(notice, now));
            }
        }
        receivedAt = current;
        Set<String> draining = new TreeSet<>();
        current.forEach((notice, since) -> {
            DiscoveredNode known = discovered.get(notice.node());
            if (known == null || !known.draining && !known.overrides(notice, since)) {
                draining.add(notice.node());
            }
        });
        return draining;
    }

    private void withdrawRemovedNodes(double now, Digest digest) {
        for (String node : new HashSet<>(discovered.keySet())) {
            if (discovered.get(node).hasExpired(now)) {
                digest.withdraw(Subject.DRAIN, node);
                discovered.remove(node);
            }
        }
    }
}
