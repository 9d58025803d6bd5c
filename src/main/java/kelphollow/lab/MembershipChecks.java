package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Judges membership: nobody who was there and reachable is found dead, incarnations only go up, and all agree at the end.
 * Times in milliseconds.
 */
final class MembershipChecks {
    // An instance that reports that it had no processor was not there so long round its report: 5 s before is more than the
    // longest suspicion of a small fleet, 0.5 s after is more than the reading of its report may take.
    private static final double STALL_BEFORE = 5_000;
    private static final double STALL_AFTER = 500;
    // An instance found dead must have been out of reach at some moment so long before, suspicion and rounds included.
    private static final double MEMORY = 60_000;

    /** Which paths between two instances, "from to", were cut from some time on. */
    private record Cuts(double since, Set<String> paths) {}

    private final List<HistoryLine> lines;
    private final Absences away;
    private final Set<String> instances = new TreeSet<>();
    private final List<Finding> findings = new ArrayList<>();

    private MembershipChecks(List<HistoryLine> lines) {
        this.lines = lines;
        this.away = Absences.of(lines, false);
        lines.stream().filter(line -> line.is(HistoryLine.LAB, "start"))
            .forEach(line -> instances.add(line.text("instance")));
    }

    static List<Finding> check(List<HistoryLine> lines) {
        MembershipChecks checks = new MembershipChecks(lines);
        checks.nobodyReachableIsFoundDead();
        checks.incarnationsGrow();
        checks.allAgreeAtTheEnd();
        return checks.findings;
    }

    /** Who is found dead had been killed, stopped, or cut off from whoever says so, directly and by way of any other. */
    private void nobodyReachableIsFoundDead() {
        List<Cuts> past = new ArrayList<>();
        past.add(new Cuts(0, Set.of()));
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "cut") || line.is(HistoryLine.LAB, "heal")) {
                past.add(new Cuts(line.at(), cutBy(line, past.get(past.size() - 1).paths)));
            } else if (line.isEvent("failed") && !isExcused(line, past)) {
                findings.add(Finding.of("false-failure",
                    line.party() + " found " + line.text("of") + " dead, which was there all the time", line));
            }
        }
    }

    private static Set<String> cutBy(HistoryLine line, Set<String> before) {
        Set<String> paths = new HashSet<>(before);
        for (String one : line.names("who")) {
            for (String other : line.names("from")) {
                if (!one.equals(other)) {
                    Set<String> changed = line.flag("one_way") ? Set.of(path(one, other))
                        : Set.of(path(one, other), path(other, one));
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

    private boolean isExcused(HistoryLine failure, List<Cuts> past) {
        String dead = failure.text("of");
        String by = failure.party();
        double at = failure.at();
        double from = Math.max(0, at - MEMORY);
        if (wasMissing(dead, from, at) || wasMissing(by, from, at)) {
            return true;
        }
        for (int i = 0; i < past.size(); i++) {
            double until = i + 1 < past.size() ? past.get(i + 1).since : Double.POSITIVE_INFINITY;
            if (until >= from && !isReachable(by, dead, past.get(i).paths)) {
                return true;
            }
        }
        return false;
    }

    private boolean wasMissing(String instance, double from, double at) {
        return away.wasAwayOnceStarted(instance, from, at)
            || away.wasStalled(instance, at - STALL_BEFORE, at + STALL_AFTER);
    }

    /** Whether a probe and its answer can pass, directly or by way of one other. */
    private boolean isReachable(String by, String target, Set<String> cut) {
        return instances.stream().anyMatch(relay -> !relay.equals(by) && isOpen(by, relay, cut)
            && (relay.equals(target) || isOpen(relay, target, cut)));
    }

    private static boolean isOpen(String one, String other, Set<String> cut) {
        return !cut.contains(path(one, other)) && !cut.contains(path(other, one));
    }

    /** As each instance sees it, the incarnations of another only go up. */
    private void incarnationsGrow() {
        Map<String, Double> highest = new HashMap<>();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "start")) {
                highest.keySet().removeIf(key -> key.startsWith(line.text("instance") + " "));
            } else if (line.isEvent("joined")) {
                String key = line.party() + " sees " + line.text("of");
                double epoch = line.number("epoch");
                if (epoch < highest.getOrDefault(key, -1.0)) {
                    findings.add(Finding.of("epochs",
                        key + " in life " + (long) epoch + " after life " + highest.get(key).longValue(), line));
                }
                highest.put(key, epoch);
            }
        }
    }

    private void allAgreeAtTheEnd() {
        for (HistoryLine line : lines) {
            if (line.is("view") && !line.names("alive").equals(line.names("running"))) {
                findings.add(Finding.of("agree", line.party() + " sees " + line.text("alive") + " while "
                    + line.text("running") + " run", line));
            }
        }
    }
}
