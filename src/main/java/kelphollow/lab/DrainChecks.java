package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges drains: a drain of which one instance is notified is kept by it after its grace, and by all others that it can
 * reach a bounded time later. Times in milliseconds.
 */
final class DrainChecks {
    private static final double GRACE = 250;
    // News of a drain reaches the other instances within the bound that the product promises.
    private static final double SPREAD = 250;

    private final List<HistoryLine> lines;
    private final List<Finding> findings = new ArrayList<>();
    /** By node and instance: since when the instance is notified that the node drains. */
    private final Map<String, Map<String, Double>> notifiedAt = new HashMap<>();
    /** Whether nothing lies between instances that may hold up their news. */
    private boolean networkIntact = true;
    private double lastDrainEndedAt;

    private DrainChecks(List<HistoryLine> lines) {
        this.lines = lines;
    }

    static List<Finding> check(List<HistoryLine> lines) {
        DrainChecks checks = new DrainChecks(lines);
        for (HistoryLine line : lines) {
            checks.read(line);
        }
        return checks.findings;
    }

    private void read(HistoryLine line) {
        if (line.is("plane", "told")) {
            notified(line);
        } else if (line.is(HistoryLine.LAB, "cut")) {
            networkIntact = false;
        } else if (line.is(HistoryLine.LAB, "net")) {
            networkIntact = line.number("loss") == 0 && line.number("delay") == 0;
        } else if (line.is(HistoryLine.LAB, "heal")) {
            networkIntact = false;     // how soon all is known again depends on the rejoin: not judged here
        } else if (line.is("attempt")) {
            judge(line);
        }
    }

    private void notified(HistoryLine line) {
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

    private void judge(HistoryLine attempt) {
        String request = attempt.text("request");
        String instance = request.substring(request.lastIndexOf('-') + 1);
        Map<String, Double> byInstance = notifiedAt.getOrDefault(attempt.party(), Map.of());
        Double own = byInstance.get(instance);
        if (own != null) {
            if (attempt.at() > own + GRACE + Checker.SLACK) {
                breach("drain", attempt, instance, own, " ms after it was told that it drains");
            }
        } else if (networkIntact) {
            double first = byInstance.values().stream().mapToDouble(at -> at).min().orElse(Double.POSITIVE_INFINITY);
            if (attempt.at() > first + GRACE + SPREAD + Checker.SLACK && first > lastDrainEndedAt
                && wasMemberSince(instance, first)) {
                breach("drain-spread", attempt, instance, first, " ms after another was told that it drains");
            }
        }
    }

    private void breach(String check, HistoryLine attempt, String instance, double since, String how) {
        findings.add(Finding.of(check, instance + " sent to " + attempt.party() + " " + Math.round(attempt.at() - since)
            + how, attempt));
    }

    /** Whether the instance was a running member before that time and in the whole history after it. */
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
