package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges how a fleet treats faulty and overloaded nodes: who probes them, how often, and what stays of the fault. Times in
 * milliseconds.
 */
final class OverloadChecks {
    // An unresponsive node is tried once a second by one instance. Until all have found it so: the class's deadline
    // twice, since one answer alone may be lost, and the time to spread. One more at each edge of the span, and one each
    // of two probers that overlap.
    private static final double FOUND_BY = 5_000;
    private static final double TRIED_IN = 5_000;
    private static final int MAX_TRIALS = 5 + 2 + 2;
    // A prober that ends is found out within the suspicion and the time its reports live; then the next one probes.
    private static final double MAX_UNTRIED = 10_000;
    private static final double RETRY_WINDOW = 10_000;
    // So long after a load has gone down, all but a twentieth of the requests are served again.
    private static final double RECOVERED_IN = 5_000;
    private static final double SERVED_AGAIN = 0.95;
    private static final double REFUSED_BEFORE = 1_500;

    private final List<HistoryLine> lines;
    private final Absences away;
    private final List<Finding> findings = new ArrayList<>();

    private OverloadChecks(List<HistoryLine> lines, Absences away) {
        this.lines = lines;
        this.away = away;
    }

    static List<Finding> check(List<HistoryLine> lines, Absences away) {
        OverloadChecks checks = new OverloadChecks(lines, away);
        checks.unresponsiveNodesAreProbedByOne();
        checks.retriesAreBounded();
        checks.overloadEndsWithItsLoad();
        return checks.findings;
    }

    private void breach(String check, String what, HistoryLine line) {
        findings.add(Finding.of(check, what, line));
    }

    /**
     * Where instances share what they find, an unresponsive node is probed at a rate that does not grow with their number,
     * and it is probed as long as it is unresponsive.
     */
    private void unresponsiveNodesAreProbedByOne() {
        boolean shared = false;
        double apartUntil = Double.NEGATIVE_INFINITY;   // until when parts of the fleet that cannot talk had a prober each
        Map<String, List<Double>> trials = new HashMap<>();
        Map<String, Double> since = new HashMap<>();
        for (HistoryLine line : lines) {
            String node = line.text("node");
            if (line.is(HistoryLine.LAB, "findings")) {
                shared = line.flag("shared");
            } else if (line.is(HistoryLine.LAB, "cut")) {
                apartUntil = Double.POSITIVE_INFINITY;
            } else if (line.is(HistoryLine.LAB, "heal")) {
                apartUntil = line.at() + 2 * TRIED_IN;
            } else if (line.is(HistoryLine.LAB, "silent")) {
                since.put(node, line.at());
                trials.put(node, new ArrayList<>(List.of(line.at())));
            } else if (line.is(HistoryLine.LAB, "back")) {
                if (shared && since.containsKey(node)) {
                    checkUntried(node, trials.get(node), line);
                }
                since.remove(node);
            } else if (shared && line.is("attempt") && since.containsKey(line.party())) {
                int most = line.at() < apartUntil ? 2 * MAX_TRIALS : MAX_TRIALS;
                if (triedTooOften(line, trials.get(line.party()), since.get(line.party()), most)) {
                    since.remove(line.party());
                }
            }
        }
    }

    private boolean triedTooOften(HistoryLine attempt, List<Double> trials, double silentSince, int most) {
        checkUntried(attempt.party(), trials, attempt);
        trials.add(attempt.at());
        double from = Math.max(attempt.at() - TRIED_IN, silentSince + FOUND_BY);
        long tried = trials.stream().filter(at -> at > from).count();
        if (tried > most) {
            breach("trickle", attempt.party() + " was tried " + tried + " times in " + TRIED_IN / 1_000 + " s while silent",
                attempt);
        }
        return tried > most;
    }

    private void checkUntried(String node, List<Double> trials, HistoryLine line) {
        double untried = line.at() - trials.get(trials.size() - 1);
        if (untried > MAX_UNTRIED) {
            breach("trickle", node + " was left alone for " + Math.round(untried) + " ms while silent", line);
        }
    }

    /**
     * At each node, over all instances, retries in any 10 s are at most the share of the first attempts that the instances
     * were set. Each counts the first ones in the 10 s before its own retry, so those of twice the span bear on one window.
     */
    private void retriesAreBounded() {
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
                long retried = since(line.at() - RETRY_WINDOW, ofNode);
                long first = since(line.at() - 2 * RETRY_WINDOW - Checker.SLACK,
                    firsts.getOrDefault(line.party(), List.of()));
                if (retried > share * first + 1) {
                    breach("repeats", line.party() + " got " + retried + " repeats in 10 s to " + first + " first tries",
                        line);
                    return;
                }
            }
        }
    }

    private static long since(double from, List<Double> times) {
        return times.stream().filter(at -> at > from).count();
    }

    /** After a load has gone down, what stays of its fault ends within a time: no metastable failure. */
    private void overloadEndsWithItsLoad() {
        double rateBefore = 0;
        double from = Double.POSITIVE_INFINITY;
        Map<String, Boolean> served = new HashMap<>();
        HistoryLine lastRequest = null;
        for (HistoryLine line : lines) {
            if (line.is(HistoryLine.LAB, "load")) {
                checkRecovered(served, lastRequest);
                double rate = line.number("rate");
                from = rate < rateBefore ? line.at() + RECOVERED_IN : Double.POSITIVE_INFINITY;
                rateBefore = rate;
            } else if (line.is("client", "ask") && line.at() > from
                && !away.wasAway(line.text("instance"), line.at() - REFUSED_BEFORE, line.at() + Clients.PATIENCE)) {
                served.put(line.text("request"), false);
                lastRequest = line;
            } else if (line.is("client", "answer") && line.integer("status") == 200) {
                served.computeIfPresent(line.text("request"), (request, before) -> true);
            }
        }
        checkRecovered(served, lastRequest);
    }

    private void checkRecovered(Map<String, Boolean> requests, HistoryLine lastRequest) {
        long served = requests.values().stream().filter(isServed -> isServed).count();
        if (served < SERVED_AGAIN * requests.size()) {
            breach("recovery", served + " of " + requests.size() + " served from " + RECOVERED_IN / 1_000
                + " s after the load went down", lastRequest);
        }
        requests.clear();
    }
}
