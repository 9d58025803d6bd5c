package kelphollow.digest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which nodes are draining by the reports of other instances. A notice that one instance got is kept by all until newer
 * information from discovery: the reporter withdraws it, or this instance's own discovery reports that the node was started
 * again, or ends a drain after the notice arrived. For one thread.
 */
public final class DrainTracker {
    /** How long a removed node is still reported, in milliseconds: longer than endpoint lists are late. */
    private static final double REMOVED_NODE_RETENTION = 60_000;

    /** What this instance's own discovery reports of a node. */
    private static final class DiscoveredNode {
        private boolean draining;
        private double startedAt;
        private double drainEndedAt = Double.NEGATIVE_INFINITY;
        private double removedAt = Double.NaN;

        boolean hasExpired(double now) {
            return now - removedAt > REMOVED_NODE_RETENTION;
        }

        boolean overrides(DrainNotice notice, double receivedAt) {
            return startedAt > notice.startedAt() || drainEndedAt > receivedAt;
        }
    }

    private final String self;
    private final Map<String, DiscoveredNode> discovered = new HashMap<>();
    private Map<DrainNotice, Double> receivedAt = new HashMap<>();

    /** {@code self}: name of this instance, whose own notices do not count as those of others. */
    public DrainTracker(String self) {
        this.self = self;
    }

    /** Takes what this instance's own discovery reports of a node, and publishes or withdraws the notice to match. */
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

    /** The nodes that must get no new requests by the notices of other instances. */
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
