package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The part of {@link Checker} that judges how a fleet treats nodes in trouble: who tries them, how often, and what stays of it. */
final class OverloadChecks {
    // A silent node is tried once a second by one instance. Until all have found it so: the class's deadline twice, since one
    // answer alone may be lost, and the time to tell. One more at each edge of the span, and one each of two probers that overlap.
    private static final double FOUND_BY = 5_000;
    private static final double TRIED_IN = 5_000;
    private static final int TRIALS = 5 + 2 + 2;
    // A prober that ends is found out within the suspicion and the patience with its figures; then the next one tries.
    private static final double UNTRIED = 10_000;
    private static final double REPEATS_IN = 10_000;
    // So long after a load has gone down, all but a twentieth of what is asked is served again.
    private static final double MENDED_IN = 5_000;
    private static final double SERVED_AGAIN = 0.95;

    private final List<Map<String, Object>> lines;
    private final Map<String, List<double[]>> away;
    private final List<Checker.Finding> findings = new ArrayList<>();

    private OverloadChecks(List<Map<String, Object>> lines, Map<String, List<double[]>> away) {
        this.lines = lines;
        this.away = away;
    }

    /** {@code away}: when each instance was not there to answer. */
    static List<Checker.Finding> check(List<Map<String, Object>> lines, Map<String, List<double[]>> away) {
        OverloadChecks checks = new OverloadChecks(lines, away);
        checks.silentNodesAreTriedByOne();
        checks.repeatsAreBounded();
        checks.whatOverloadBrokeIsMended();
        return checks.findings;
    }

    private void breach(String check, String what, Map<String, Object> line) {
        findings.add(new Checker.Finding(check, what, List.of(line)));
    }

    /**
     * Where instances tell each other what they find, a node that says nothing is tried at a rate that does not grow with
     * their number, and it is tried as long as it is silent.
     */
    private void silentNodesAreTriedByOne() {
        boolean shared = false;
        double apart = Double.NEGATIVE_INFINITY;   // until when parts of the fleet that cannot talk had a prober each
        Map<String, List<Double>> trials = new HashMap<>();
        Map<String, Double> since = new HashMap<>();
        for (Map<String, Object> line : lines) {
            String party = (String) line.get("party"), node = String.valueOf(line.get("node"));
            if (Checker.is(line, "lab", "findings")) {
                shared = Boolean.TRUE.equals(line.get("shared"));
            } else if (Checker.is(line, "lab", "cut") || Checker.is(line, "lab", "heal")) {
                apart = Checker.is(line, "lab", "cut") ? Double.POSITIVE_INFINITY : Checker.at(line) + 2 * TRIED_IN;
            } else if (Checker.is(line, "lab", "silent")) {
                since.put(node, Checker.at(line));
                trials.put(node, new ArrayList<>(List.of(Checker.at(line))));
            } else if (Checker.is(line, "lab", "back")) {
                if (since.containsKey(node)) untried(shared, node, trials.get(node), line);
                since.remove(node);
            } else if (shared && Checker.is(line, null, "attempt") && since.containsKey(party)) {
                untried(true, party, trials.get(party), line);
                trials.get(party).add(Checker.at(line));
                double from = Math.max(Checker.at(line) - TRIED_IN, since.get(party) + FOUND_BY);
                long tried = trials.get(party).stream().filter(t -> t > from).count();
                if (tried > (Checker.at(line) < apart ? 2 * TRIALS : TRIALS)) {
                    breach("trickle", party + " was tried " + tried + " times in " + TRIED_IN / 1_000 + " s while silent",
                        line);
                    since.remove(party);
                }
            }
        }
    }

    /**
     * At each node, over all instances, further attempts in any 10 s are at most the share of the first ones that the instances
     * were told. Each counts the first ones in the 10 s before its own repeat, so those of twice the span bear on one window.
     */
    private void repeatsAreBounded() {
        double share = Double.POSITIVE_INFINITY;
        Set<String> seen = new HashSet<>();
        Map<String, List<Double>> firsts = new HashMap<>(), repeats = new HashMap<>();
        for (Map<String, Object> line : lines) {
            if (Checker.is(line, "lab", "repeats")) {
                share = ((Number) line.get("share")).doubleValue();
            } else if (Checker.is(line, null, "attempt")) {
                String node = (String) line.get("party");
                if (seen.add((String) line.get("request"))) {
                    firsts.computeIfAbsent(node, n -> new ArrayList<>()).add(Checker.at(line));
                    continue;
                }
                List<Double> again = repeats.computeIfAbsent(node, n -> new ArrayList<>());
                again.add(Checker.at(line));
                long further = again.stream().filter(t -> t > Checker.at(line) - REPEATS_IN).count();
                long first = firsts.getOrDefault(node, List.of()).stream()
                    .filter(t -> t > Checker.at(line) - 2 * REPEATS_IN - Checker.SLACK).count();
                if (further > share * first + 1) {
                    breach("repeats", node + " got " + further + " repeats in 10 s to " + first + " first tries", line);
                    return;
                }
            }
        }
    }

    /** After a load has gone down, what stays on of its trouble ends within a time: no metastable failure. */
    private void whatOverloadBrokeIsMended() {
        double before = 0, from = Double.POSITIVE_INFINITY;
        Map<String, Boolean> asked = new HashMap<>();
        Map<String, Object> lastLine = null;
        for (Map<String, Object> line : lines) {
            if (Checker.is(line, "lab", "load")) {
                double rate = ((Number) line.get("rate")).doubleValue();
                mended(asked, lastLine);
                from = rate < before ? Checker.at(line) + MENDED_IN : Double.POSITIVE_INFINITY;
                before = rate;
            } else if (Checker.is(line, "client", "ask") && Checker.at(line) > from
                && !Checker.wasAway(away, (String) line.get("instance"), Checker.at(line) - 1_500, Checker.at(line)
                    + Clients.PATIENCE)) {
                asked.put((String) line.get("request"), false);
                lastLine = line;
            } else if (Checker.is(line, "client", "answer") && ((Number) line.get("status")).intValue() == 200) {
                asked.computeIfPresent((String) line.get("request"), (r, s) -> true);
            }
        }
        mended(asked, lastLine);
    }

    private void mended(Map<String, Boolean> asked, Map<String, Object> lastLine) {
        long served = asked.values().stream().filter(s -> s).count();
        if (served < SERVED_AGAIN * asked.size()) {
            breach("recovery", served + " of " + asked.size() + " served from " + MENDED_IN / 1_000
                + " s after the load went down", lastLine);
        }
        asked.clear();
    }

    private void untried(boolean shared, String node, List<Double> trials, Map<String, Object> line) {
        double last = trials.get(trials.size() - 1);
        if (shared && Checker.at(line) - last > UNTRIED) {
            breach("trickle", node + " was left alone for " + Math.round(Checker.at(line) - last) + " ms while silent",
                line);
        }
    }
}
