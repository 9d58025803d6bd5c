package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks drains: an instance that is notified of a drain sends nothing to the node once the grace has passed, and the other
 * instances that it can reach follow within a bounded time after that.
 */
final class DrainChecks {
    private static final double GRACE_MS = 250;
    // The bound that the product promises for spreading a drain to the other instances.
    private static final double SPREAD_MS = 250;

    private final List<HistoryLine> lines;
    private final List<Finding> findings = new ArrayList<>();
    /** By node and instance: when the instance was notified that the node drains, in milliseconds. */
    private final Map<String, Map<String, Double>> notifiedAt = new HashMap<>();
    /** Whether no cut, loss or delay can hold up messages between instances. */
    private boolean networkIntact = true;
    private double lastDrainEndedAt;

    private DrainChecks(List<HistoryLine> lines) {
        this.lines = lines;
    }

    static List<Finding> check(List<HistoryLine> lines) {
        DrainChecks checks = new DrainChecks(lines);
        for (HistoryLine line : lines) {
            checks.addLine(line);
        }
        return checks.findings;
    }

    private void addLine(HistoryLine line) {
        if (line.is("plane", "told")) {
            recordNotification(line);
        } else if (line.is(HistoryLine.LAB, "cut")) {
            networkIntact = false;
        } else if (line.is(HistoryLine.LAB, "net")) {
            networkIntact = line.number("loss") == 0 && line.number("delay") == 0;
        } else if (line.is(HistoryLine.LAB, "heal")) {
            networkIntact = false;     // the time to spread then depends on the rejoin, which is not checked here
        } else if (line.is("attempt")) {
            checkAttempt(line);
        }
    }

    private void recordNotification(HistoryLine line) {
        String instance = line.text("instance");
        Set<String> draining = line.names("draining");
        notifiedAt.values().forEach(byInstance -> byInstance.remove(instance));
        for (String node : draining) {
            notifiedAt.computeIfAbsent(node, key -> new HashMap<>()).put(instance, line.at());
        }
        if (draining.isEmpty()) {
            lastDrainEndedAt = line.at();
        }
    }

    private void checkAttempt(HistoryLine attempt) {
        String request = attempt.text("request");
        String instance = request.substring(request.lastIndexOf('-') + 1);
        Map<String, Double> byInstance = notifiedAt.getOrDefault(attempt.party(), Map.of());
        Double ownAt = byInstance.get(instance);
        if (ownAt != null) {
            if (attempt.at() > ownAt + GRACE_MS + Checker.TIMING_TOLERANCE_MS) {
                addFinding("drain", attempt, instance, ownAt, " ms after it was notified of the drain");
            }
        } else if (networkIntact) {
            double firstAt = byInstance.values().stream().mapToDouble(at -> at).min().orElse(Double.POSITIVE_INFINITY);
            if (attempt.at() > firstAt + GRACE_MS + SPREAD_MS + Checker.TIMING_TOLERANCE_MS && firstAt > lastDrainEndedAt
                && wasMemberSince(instance, firstAt)) {
                addFinding("drain-spread", attempt, instance, firstAt,
                    " ms after another instance was notified of the drain");
            }
        }
    }

    private void addFinding(String check, HistoryLine attempt, String instance, double since, String reason) {
        findings.add(Finding.of(check, instance + " sent to draining node " + attempt.party() + " "
            + Math.round(attempt.at() - since) + reason, attempt));
    }

    /** Whether the instance had joined before that time and was not started, stopped or resumed later in the history. */
    private boolean wasMemberSince(String instance, double time) {
        double joinedAt = Double.POSITIVE_INFINITY;
        for (HistoryLine line : lines) {
            boolean interrupted = line.is(HistoryLine.LAB, "start") || line.is(HistoryLine.LAB, "stop")
                || line.is(HistoryLine.LAB, "cont");
            if (interrupted && instance.equals(line.text("instance"))) {
                joinedAt = Double.POSITIVE_INFINITY;
            } else if (instance.equals(line.party()) && line.isEvent("joined")) {
                joinedAt = Math.min(joinedAt, line.at());
            }
        }
        return joinedAt < time;
    }
}
