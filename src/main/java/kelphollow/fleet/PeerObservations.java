package kelphollow.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.digest.Digest;
import kelphollow.digest.DrainTracker;
import kelphollow.digest.Subject;
import kelphollow.digest.UnresponsiveNodeReport;
import kelphollow.membership.Membership;
import kelphollow.overload.AttemptReport;
import kelphollow.overload.ProbeDelegation;
import kelphollow.routing.FleetRouting;

/**
 * Transfers observations of nodes between this instance's routing and the digest: publishes what this instance observes, and
 * applies changes in what other instances publish to the routing. Not thread-safe.
 */
final class PeerObservations {
    // The decision module attempts an unresponsive node every second (its probe rate): three missing attempts show that the
    // instance no longer attempts it.
    private static final double ATTEMPT_PROGRESS_TIMEOUT_MS = 3_000;

    private final FleetOptions options;
    private final FleetRouting routing;
    private final Membership membership;
    private final Digest digest;
    private final EventLog events;
    private final DrainTracker drainTracker;
    private final ProbeDelegation delegation;
    private Set<String> draining = Set.of();
    private Set<String> suspected = Set.of();
    private Set<String> delegated = Set.of();

    PeerObservations(FleetOptions options, FleetRouting routing, Membership membership, Digest digest, EventLog events) {
        this.options = options;
        this.routing = routing;
        this.membership = membership;
        this.digest = digest;
        this.events = events;
        this.drainTracker = new DrainTracker(options.name());
        this.delegation = new ProbeDelegation(options.name(), ATTEMPT_PROGRESS_TIMEOUT_MS);
    }

    /** Updates the drain notices from this instance's own discovery. */
    void endpointsReceived(double now, List<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            drainTracker.discovered(now, endpoint.node(), endpoint.state() == EndpointState.DRAINING,
                endpoint.state() == EndpointState.REMOVED, endpoint.startedAt(), digest);
        }
    }

    /** Publishes the nodes that do not respond to this instance, and withdraws those that respond again. */
    void publishFindings(double now) {
        Map<String, Integer> unresponsive = options.sharesFindings() ? routing.unresponsiveNodes() : Map.of();
        Set<String> recovered = new TreeSet<>(digest.committedKeys(Subject.UNRESPONSIVE_NODE));
        unresponsive.forEach((node, attempts) -> digest.publish(Subject.UNRESPONSIVE_NODE, node, attempts));
        recovered.removeAll(unresponsive.keySet());
        recovered.forEach(node -> digest.withdraw(Subject.UNRESPONSIVE_NODE, node));
    }

    /** Applies the drain notices and findings of other instances to the routing. */
    void apply(double now) {
        Set<String> drainingNow = drainTracker.drainingByOthers(now, digest);
        List<UnresponsiveNodeReport> findings = options.sharesFindings() ? digest.unresponsiveNodeReports(now) : List.of();
        Set<String> delegatedNow = options.sharesFindings()
            ? delegation.delegatedNodes(now, membership.presentMembers(), attemptReports(findings)) : Set.of();
        applyEjections(drainingNow, delegatedNow);
        applySuspicions(findings);
    }

    private static List<AttemptReport> attemptReports(List<UnresponsiveNodeReport> findings) {
        return findings.stream().map(f -> new AttemptReport(f.reporter(), f.node(), f.attempts())).toList();
    }

    private void applyEjections(Set<String> drainingNow, Set<String> delegatedNow) {
        if (!drainingNow.equals(draining) || !delegatedNow.equals(delegated)) {
            Set<String> ejected = new TreeSet<>(drainingNow);
            ejected.addAll(delegatedNow);
            routing.eject(ejected);
        }
        if (!drainingNow.equals(draining)) {
            draining = drainingNow;
            events.write(FleetEvent.NODES_DRAINING, options.name(), membership.epoch(), "by the word of others",
                Map.of("nodes", draining));
        }
        if (!delegatedNow.equals(delegated)) {
            delegated = delegatedNow;
            events.write(FleetEvent.NODES_DELEGATED, options.name(), membership.epoch(), "others try them",
                Map.of("nodes", delegated));
        }
    }

    private void applySuspicions(List<UnresponsiveNodeReport> findings) {
        Set<String> suspectedNow = new TreeSet<>();
        for (UnresponsiveNodeReport finding : findings) {
            if (!finding.reporter().equals(options.name())) {
                suspectedNow.add(finding.node());
            }
        }
        if (!suspectedNow.equals(suspected)) {
            suspected = suspectedNow;
            routing.suspect(suspected);
        }
    }

    /** Returns the nodes that other instances report as draining. */
    Set<String> draining() {
        return draining;
    }

    /** Returns the nodes that other instances found unresponsive. */
    Set<String> suspected() {
        return suspected;
    }

    /** Returns the instance that health-checks each unresponsive node, by node. */
    Map<String, String> healthCheckers() {
        return delegation.healthCheckers();
    }
}
