package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks membership: no instance that was available and reachable is declared failed, epochs never decrease, and all
 * instances agree at the end.
 */
final class MembershipChecks {
    // An instance that reports a stall counts as unavailable around its report: 5 s before is more than the longest
    // suspicion of a small fleet, 0.5 s after is more than reading its report takes.
    private static final double STALL_BEFORE_MS = 5_000;
    private static final double STALL_AFTER_MS = 500;
    // An instance declared failed must have been unreachable within this time before, suspicion and rounds included.
    private static final double EXCUSE_WINDOW_MS = 60_000;

    /** The paths between two instances, as "from to", that are cut from a time on. */
    private record Cuts(double since, Set<String> paths) {}

    private final List<HistoryLine> lines;
    private final Unavailability unavailability;
    private final Set<String> instances = new TreeSet<>();
    private final List<Finding> findings = new ArrayList<>();

    private MembershipChecks(List<HistoryLine> lines) {
        this.lines = lines;
        this.unavailability = Unavailability.of(lines, false);
        lines.stream().filter(line -> line.is(HistoryLine.LAB, "start"))
            .forEach(line -> instances.add(line.text("instance")));
    }

    static List<Finding> check(List<HistoryLine> lines) {
        MembershipChecks checks = new MembershipChecks(lines);
        checks.checkFalseFailures();
        checks.checkEpochs();
        checks.checkFinalAgreement();
        return checks.findings;
    }

    /** An instance declared failed was killed, stopped, or cut off from the reporter, both directly and by any third one. */
    private void checkFalseFailures() {
        List<Cuts> cutHistory = new ArrayList<>();
        cutHistory.add(new Cuts(0, Set.of()));
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "cut") || line.is(HistoryLine.LAB, "heal")) {
                cutHistory.add(new Cuts(line.at(), applyCut(line, cutHistory.get(cutHistory.size() - 1).paths)));
            } else if (line.isEvent("failed") && !isExcused(line, cutHistory)) {
                findings.add(Finding.of("false-failure",
                    line.party() + " declared " + line.text("of") + " failed, which was reachable all the time", line));
            }
        }
    }

    private static Set<String> applyCut(HistoryLine line, Set<String> before) {
        Set<String> paths = new HashSet<>(before);
        for (String side : line.names("who")) {
            for (String otherSide : line.names("from")) {
                if (!side.equals(otherSide)) {
                    Set<String> changed = line.flag("one_way") ? Set.of(path(side, otherSide))
                        : Set.of(path(side, otherSide), path(otherSide, side));
                    if (line.is("cut")) {
                        paths.addAll(changed);
                    } else {
                        paths.removeAll(changed);
                    }
                }
            }
        }
        return paths;
    }

    private static String path(String from, String to) {
        return from + " " + to;
    }

    private boolean isExcused(HistoryLine failure, List<Cuts> cutHistory) {
        String failed = failure.text("of");
        String reporter = failure.party();
        double at = failure.at();
        double from = Math.max(0, at - EXCUSE_WINDOW_MS);
        if (wasUnavailable(failed, from, at) || wasUnavailable(reporter, from, at)) {
            return true;
        }
        for (int i = 0; i < cutHistory.size(); i++) {
            double until = i + 1 < cutHistory.size() ? cutHistory.get(i + 1).since : Double.POSITIVE_INFINITY;
            if (until >= from && !isReachable(reporter, failed, cutHistory.get(i).paths)) {
                return true;
            }
        }
        return false;
    }

    private boolean wasUnavailable(String instance, double from, double at) {
        return unavailability.wasUnavailableAfterFirstStart(instance, from, at)
            || unavailability.wasStalled(instance, at - STALL_BEFORE_MS, at + STALL_AFTER_MS);
    }

    /** Whether a probe and its answer can pass, directly or through one other instance. */
    private boolean isReachable(String reporter, String target, Set<String> cut) {
        return instances.stream().anyMatch(relay -> !relay.equals(reporter) && isOpen(reporter, relay, cut)
            && (relay.equals(target) || isOpen(relay, target, cut)));
    }

    private static boolean isOpen(String one, String other, Set<String> cut) {
        return !cut.contains(path(one, other)) && !cut.contains(path(other, one));
    }

    /** The epoch of an instance never decreases in the view of another. */
    private void checkEpochs() {
        Map<String, Double> highest = new HashMap<>();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "start")) {
                highest.keySet().removeIf(key -> key.startsWith(line.text("instance") + " "));
            } else if (line.isEvent("joined")) {
                String key = line.party() + " sees " + line.text("of");
                double epoch = line.number("epoch");
                if (epoch < highest.getOrDefault(key, -1.0)) {
                    findings.add(Finding.of("epochs",
                        key + " in epoch " + (long) epoch + " after epoch " + highest.get(key).longValue(),
                        line));
                }
                highest.put(key, epoch);
            }
        }
    }

    private void checkFinalAgreement() {
        for (HistoryLine line : lines) {
            if (line.is("view") && !line.names("alive").equals(line.names("running"))) {
                findings.add(Finding.of("agree", line.party() + " sees " + line.text("alive") + " as alive, but "
                    + line.text("running") + " are running", line));
            }
        }
    }
}
