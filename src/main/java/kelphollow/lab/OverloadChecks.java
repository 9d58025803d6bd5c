package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks how a fleet treats faulty and overloaded nodes: how often unresponsive ones are probed, how many retries they get,
 * and whether service recovers after an overload.
 */
final class OverloadChecks {
    // Time until all instances know that a node is unresponsive: twice the class's deadline, since a single answer may be
    // lost, plus the time to spread.
    private static final double DETECTION_MS = 5_000;
    // One instance probes an unresponsive node once per second: 5 probes in the window, one more at each edge of it, and
    // one from each of two probers that overlap.
    private static final double PROBE_WINDOW_MS = 5_000;
    private static final int MAX_PROBES = 5 + 2 + 2;
    // The failure of a prober is noticed after the suspicion and the lifetime of its reports; then the next instance probes.
    private static final double MAX_PROBE_GAP_MS = 10_000;
    private static final double RETRY_WINDOW_MS = 10_000;
    // This long after a decrease of the load, 95% of the requests must be served again.
    private static final double RECOVERY_MS = 5_000;
    private static final double RECOVERED_SHARE = 0.95;
    // An instance refuses connections for some time while it starts.
    private static final double STARTUP_MS = 1_500;

    private final List<HistoryLine> lines;
    private final Unavailability unavailability;
    private final List<Finding> findings = new ArrayList<>();

    private OverloadChecks(List<HistoryLine> lines, Unavailability unavailability) {
        this.lines = lines;
        this.unavailability = unavailability;
    }

    static List<Finding> check(List<HistoryLine> lines, Unavailability unavailability) {
        OverloadChecks checks = new OverloadChecks(lines, unavailability);
        checks.checkProbes();
        checks.checkRetries();
        checks.checkRecovery();
        return checks.findings;
    }

    private void addFinding(String check, String what, HistoryLine line) {
        findings.add(Finding.of(check, what, line));
    }

    /**
     * Where instances share their findings, an unresponsive node is probed at a rate that does not grow with the number of
     * instances, and it is probed as long as it is unresponsive.
     */
    private void checkProbes() {
        boolean shared = false;
        double partitionedUntil = Double.NEGATIVE_INFINITY;   // until then, partitions of the fleet have a prober each
        Map<String, List<Double>> probes = new HashMap<>();
        Map<String, Double> unresponsiveSince = new HashMap<>();
        for (HistoryLine line : lines) {
            String node = line.text("node");
            if (line.is(HistoryLine.LAB, "findings")) {
                shared = line.flag("shared");
            } else if (line.is(HistoryLine.LAB, "cut")) {
                partitionedUntil = Double.POSITIVE_INFINITY;
            } else if (line.is(HistoryLine.LAB, "heal")) {
                partitionedUntil = line.at() + 2 * PROBE_WINDOW_MS;
            } else if (line.is(HistoryLine.LAB, "silent")) {
                unresponsiveSince.put(node, line.at());
                probes.put(node, new ArrayList<>(List.of(line.at())));
            } else if (line.is(HistoryLine.LAB, "back")) {
                if (shared && unresponsiveSince.containsKey(node)) {
                    checkProbeGap(node, probes.get(node), line);
                }
                unresponsiveSince.remove(node);
            } else if (shared && line.is("attempt") && unresponsiveSince.containsKey(line.party())) {
                int limit = line.at() < partitionedUntil ? 2 * MAX_PROBES : MAX_PROBES;
                if (isProbedTooOften(line, probes.get(line.party()), unresponsiveSince.get(line.party()), limit)) {
                    unresponsiveSince.remove(line.party());
                }
            }
        }
    }

    private boolean isProbedTooOften(HistoryLine attempt, List<Double> probes, double unresponsiveSince, int limit) {
        checkProbeGap(attempt.party(), probes, attempt);
        probes.add(attempt.at());
        double from = Math.max(attempt.at() - PROBE_WINDOW_MS, unresponsiveSince + DETECTION_MS);
        long probed = probes.stream().filter(at -> at > from).count();
        if (probed > limit) {
            addFinding("trickle", attempt.party() + " was probed " + probed + " times in " + PROBE_WINDOW_MS / 1_000
                + " s while unresponsive",
                attempt);
        }
        return probed > limit;
    }

    private void checkProbeGap(String node, List<Double> probes, HistoryLine line) {
        double gap = line.at() - probes.get(probes.size() - 1);
        if (gap > MAX_PROBE_GAP_MS) {
            addFinding("trickle", node + " was not probed for " + Math.round(gap) + " ms while unresponsive", line);
        }
    }

    /**
     * At each node, over all instances, the retries in any 10 s stay within the configured share of first attempts. Each
     * instance counts first attempts in the 10 s before its own retry, so those of the last 20 s count for one window.
     */
    private void checkRetries() {
        double share = Double.POSITIVE_INFINITY;
        Set<String> seen = new HashSet<>();
        Map<String, List<Double>> firsts = new HashMap<>();
        Map<String, List<Double>> retries = new HashMap<>();
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "repeats")) {
                share = line.number("share");
            } else if (line.is("attempt") && seen.add(line.text("request"))) {
                firsts.computeIfAbsent(line.party(), node -> new ArrayList<>()).add(line.at());
            } else if (line.is("attempt")) {
                List<Double> ofNode = retries.computeIfAbsent(line.party(), node -> new ArrayList<>());
                ofNode.add(line.at());
                long retried = countAfter(line.at() - RETRY_WINDOW_MS, ofNode);
                long first = countAfter(line.at() - 2 * RETRY_WINDOW_MS - Checker.TIMING_TOLERANCE_MS,
                    firsts.getOrDefault(line.party(), List.of()));
                if (retried > share * first + 1) {
                    addFinding("repeats", line.party() + " got " + retried + " retries in 10 s with " + first
                        + " first attempts",
                        line);
                    return;
                }
            }
        }
    }

    private static long countAfter(double from, List<Double> times) {
        return times.stream().filter(at -> at > from).count();
    }

    /** Service recovers within a bounded time after a decrease of the load: no metastable failure. */
    private void checkRecovery() {
        double rateBefore = 0;
        double from = Double.POSITIVE_INFINITY;
        Map<String, Boolean> served = new HashMap<>();
        HistoryLine lastRequest = null;
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "load")) {
                checkServedShare(served, lastRequest);
                double rate = line.number("rate");
                from = rate < rateBefore ? line.at() + RECOVERY_MS : Double.POSITIVE_INFINITY;
                rateBefore = rate;
            } else if (line.is("client", "ask") && line.at() > from
                && !unavailability.wasUnavailable(line.text("instance"), line.at() - STARTUP_MS,
                    line.at() + Clients.TIMEOUT_MS)) {
                served.put(line.text("request"), false);
                lastRequest = line;
            } else if (line.is("client", "answer") && line.integer("status") == 200) {
                served.computeIfPresent(line.text("request"), (request, before) -> true);
            }
        }
        checkServedShare(served, lastRequest);
    }

    private void checkServedShare(Map<String, Boolean> requests, HistoryLine lastRequest) {
        long served = requests.values().stream().filter(isServed -> isServed).count();
        if (served < RECOVERED_SHARE * requests.size()) {
            addFinding("recovery", served + " of " + requests.size() + " served from " + RECOVERY_MS / 1_000
                + " s after the load was decreased", lastRequest);
        }
        requests.clear();
    }
}
