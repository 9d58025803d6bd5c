package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Judges a history by itself: it knows nothing of the run but what is in it, and nothing of the program. Each finding
 * names its check and the lines that prove it.
 */
final class Checker {
    // A drain is kept after its grace; a word of it reaches the others within the bound that the product promises.
    private static final double GRACE = 250;
    private static final double SPREAD = 250;
    // Time between the control plane's writing and the history's line, scheduling on a busy machine included.
    static final double SLACK = 100;
    // An instance that says itself that it had no processor was not there so long round its word: 5 s before is more
    // than the longest suspicion of a small fleet, 0.5 s after is more than the reading of its word may take.
    private static final double STALL_BEFORE = 5_000;
    private static final double STALL_AFTER = 500;
    // An instance found dead must have been out of reach at some moment so long before, suspicion and rounds included.
    private static final double MEMORY = 60_000;
    /** One breach. */
    record Finding(String check, String what, List<Map<String, Object>> proof) {}

    private final List<Map<String, Object>> lines;
    private final List<Finding> findings = new ArrayList<>();

    private Checker(List<Map<String, Object>> lines) {
        this.lines = lines;
    }

    /** All breaches in the history; empty when it passes. */
    static List<Finding> check(List<Map<String, Object>> history) {
        Checker checker = new Checker(history);
        checker.stepsWentAsPlanned();
        checker.oneFinalAnswer();
        checker.noWriteTwice();
        checker.drainsAreKept();
        checker.theLimitIsKept();
        checker.findings.addAll(OverloadChecks.check(history, checker.away(true)));
        checker.nobodyIsAccusedWronglyToDeath();
        checker.epochsGrow();
        checker.allAgreeAtTheEnd();
        return checker.findings;
    }

    private void breach(String check, String what, Map<String, Object> line) {
        findings.add(new Finding(check, what, List.of(line)));
    }

    static boolean is(Map<String, Object> line, String party, String what) {
        return what.equals(line.get("what")) && (party == null || party.equals(line.get("party")));
    }

    static double at(Map<String, Object> line) {
        return ((Number) line.get("at")).doubleValue();
    }

    private static Set<String> names(Object list) {
        Set<String> names = new TreeSet<>();
        if (list instanceof Iterable<?> all) {
            all.forEach(n -> names.add(String.valueOf(n)));
        }
        return names;
    }

    /** The rig's own word: something that a step waited for never came, or a process ended by itself. */
    private void stepsWentAsPlanned() {
        for (Map<String, Object> line : lines) {
            if (is(line, "lab", "missed")) {
                breach("steps", "step " + line.get("step") + " waited in vain", line);
            } else if (is(line, null, "crashed")) {
                breach("crash", line.get("party") + " ended by itself with code " + line.get("code"), line);
            } else if (is(line, "lab", "ended") && !Integer.valueOf(0).equals(((Number) line.get("code")).intValue())) {
                breach("leave", line.get("instance") + " left with code " + line.get("code"), line);
            }
        }
    }

    /**
     * When each instance was not there to answer: killed, leaving, or stopped, up to its next start or waking; where
     * {@code starving} counts, also without most of its processor. That excuses late answers, and no false death.
     */
    private Map<String, List<double[]>> away(boolean starving) {
        Map<String, List<double[]>> away = new HashMap<>();
        for (Map<String, Object> line : lines) {
            if (!"lab".equals(line.get("party"))) {
                continue;
            }
            String what = (String) line.get("what"), who = (String) line.get("instance");
            List<double[]> spans = away.computeIfAbsent(String.valueOf(who), w -> new ArrayList<>());
            boolean open = !spans.isEmpty() && spans.get(spans.size() - 1)[1] == Double.POSITIVE_INFINITY;
            if ((Set.of("kill", "term", "stop").contains(what) || starving && what.equals("starve")) && !open) {
                spans.add(new double[] {at(line), Double.POSITIVE_INFINITY});
            } else if (what.equals("start") && spans.isEmpty()) {
                spans.add(new double[] {0, at(line)});
            } else if ((Set.of("start", "cont").contains(what) || starving && what.equals("feed")) && open) {
                spans.get(spans.size() - 1)[1] = at(line);
            }
        }
        return away;
    }

    /** Whether the instance itself said, in the span, that the machine had let it stand still. */
    private boolean stalled(String who, double from, double to) {
        return lines.stream().anyMatch(l -> is(l, who, "event") && "stood_still".equals(l.get("event"))
            && at(l) >= from && at(l) <= to);
    }

    /** Whether the instance was away at some moment of the span. */
    static boolean wasAway(Map<String, List<double[]>> away, String who, double from, double to) {
        return away.getOrDefault(who, List.of()).stream().anyMatch(s -> s[0] <= to && s[1] >= from);
    }

    /** Each request has one answer in time, unless its instance was killed, stopped or restarted meanwhile. */
    private void oneFinalAnswer() {
        Map<String, Map<String, Object>> asks = new LinkedHashMap<>();
        Set<String> answered = new HashSet<>();
        Map<String, List<double[]>> away = away(true);
        double last = lines.isEmpty() ? 0 : at(lines.get(lines.size() - 1));
        for (Map<String, Object> line : lines) {
            if (is(line, "client", "ask")) {
                asks.put((String) line.get("request"), line);
            } else if (is(line, "client", "answer")) {
                String id = (String) line.get("request");
                Map<String, Object> ask = asks.get(id);
                if (ask == null || !answered.add(id)) {
                    breach("one-answer", id + (ask == null ? " was never asked" : " was answered twice"), line);
                } else if (((Number) line.get("status")).intValue() == 0
                    && !wasAway(away, (String) ask.get("instance"), at(ask) - 1_500, at(line))) {
                    // A start takes some seconds in which connections are refused: that is the time before it serves.
                    if (served(ask) && !stalled((String) ask.get("instance"), at(ask), at(line) + STALL_AFTER)) {
                        breach("one-answer", id + " got no answer though its instance was there", line);
                    }
                }
            }
        }
        asks.forEach((id, ask) -> {
            if (!answered.contains(id) && at(ask) < last - Clients.PATIENCE - 2_000) {
                breach("one-answer", id + " was never answered", ask);
            }
        });
    }

    /** Whether the instance had answered anybody in its present life before this was asked. */
    private boolean served(Map<String, Object> ask) {
        String who = (String) ask.get("instance");
        boolean served = false;
        for (Map<String, Object> line : lines) {
            if (at(line) > at(ask)) {
                break;
            }
            if (is(line, "lab", "start") && who.equals(line.get("instance"))) {
                served = false;
            } else if (is(line, "client", "answer") && ((Number) line.get("status")).intValue() > 0
                && ((String) line.get("request")).endsWith("-" + who)) {
                served = true;
            }
        }
        return served;
    }

    private void noWriteTwice() {
        Map<String, Map<String, Object>> ran = new HashMap<>();
        for (Map<String, Object> line : lines) {
            if (is(line, null, "attempt") && "PUT".equals(line.get("method"))) {
                Map<String, Object> before = ran.put((String) line.get("request"), line);
                if (before != null) {
                    findings.add(new Finding("write-twice", line.get("request") + " came to a node twice", List.of(before,
                        line)));
                }
            }
        }
    }

    /**
     * The volume's store over all instances: full at first, filled by the limit's rate, drawn by the first attempt of each
     * request as nodes see it, never further below nought than the slack, what 150 ms allow included.
     */
    private void theLimitIsKept() {
        double rate = 0, burst = 0, slack = 0, level = 0, last = 0;
        Set<String> drawn = new HashSet<>();
        for (Map<String, Object> line : lines) {
            if (is(line, "lab", "limit")) {
                rate = ((Number) line.get("rate")).doubleValue() / 1_000;
                burst = level = ((Number) line.get("burst")).doubleValue();
                slack = ((Number) line.get("slack")).doubleValue();
                last = at(line);
            } else if (rate > 0 && is(line, null, "attempt") && drawn.add((String) line.get("request"))) {
                level = Math.min(burst, level + (at(line) - last) * rate) - 1;
                last = at(line);
                if (level < -slack - rate * (150 + SLACK)) {
                    breach("limit", "the volume's store is at " + Math.round(level * 10) / 10.0, line);
                    return;
                }
            }
        }
    }

    /** A drain told to one is kept by it after its grace, and by all others it can reach a bounded time later. */
    private void drainsAreKept() {
        Map<String, Map<String, Double>> toldAt = new HashMap<>();   // node, instance: since when
        boolean whole = true;
        double changedAt = 0;
        for (Map<String, Object> line : lines) {
            if (is(line, "plane", "told")) {
                String who = (String) line.get("instance");
                Set<String> drained = names(line.get("draining"));
                toldAt.values().forEach(by -> by.keySet().removeIf(i -> i.equals(who)));
                for (String node : drained) {
                    toldAt.computeIfAbsent(node, n -> new HashMap<>()).put(who, at(line));
                }
                if (drained.isEmpty()) {
                    changedAt = at(line);
                }
            } else if (is(line, "lab", "cut") || is(line, "lab", "net")) {
                whole = is(line, "lab", "net") && ((Number) line.get("loss")).doubleValue() == 0
                    && ((Number) line.get("delay")).doubleValue() == 0;
            } else if (is(line, "lab", "heal")) {
                whole = false;             // how soon all is told again depends on the rejoin: not judged here
            } else if (is(line, null, "attempt")) {
                String id = (String) line.get("request"), who = id.substring(id.lastIndexOf('-') + 1);
                Map<String, Double> by = toldAt.getOrDefault((String) line.get("party"), Map.of());
                Double own = by.get(who);
                if (own != null && at(line) > own + GRACE + SLACK) {
                    breach("drain", who + " sent to " + line.get("party") + " " + Math.round(at(line) - own)
                        + " ms after it was told that it drains", line);
                } else if (own == null && whole) {
                    double first = by.values().stream().mapToDouble(d -> d).min().orElse(Double.POSITIVE_INFINITY);
                    if (at(line) > first + GRACE + SPREAD + SLACK && first > changedAt && settled(who, first)) {
                        breach("drain-spread", who + " sent to " + line.get("party") + " " + Math.round(at(line) - first)
                            + " ms after another was told that it drains", line);
                    }
                }
            }
        }
    }

    /** Whether the instance was a running member well before and ever since. */
    private boolean settled(String who, double time) {
        double joined = Double.POSITIVE_INFINITY;
        for (Map<String, Object> line : lines) {
            if (is(line, "lab", "start") && who.equals(line.get("instance")) || is(line, "lab", "stop")
                && who.equals(line.get("instance")) || is(line, "lab", "cont") && who.equals(line.get("instance"))) {
                joined = Double.POSITIVE_INFINITY;
            } else if (is(line, who, "event") && "joined".equals(line.get("event"))) {
                joined = Math.min(joined, at(line));
            }
        }
        return joined < time;
    }

    /** Which ways were cut from some time on. */
    private record Ways(double since, Set<String> severed) {}

    /** Who is found dead had been killed, stopped, or cut off from whoever says so, directly and by way of any other. */
    private void nobodyIsAccusedWronglyToDeath() {
        Map<String, List<double[]>> away = away(false);
        Set<String> all = new TreeSet<>();
        lines.stream().filter(l -> is(l, "lab", "start")).forEach(l -> all.add((String) l.get("instance")));
        List<Ways> past = new ArrayList<>();
        past.add(new Ways(0, Set.of()));
        for (Map<String, Object> line : lines) {
            if (is(line, "lab", "cut") || is(line, "lab", "heal")) {
                Set<String> severed = new HashSet<>(past.get(past.size() - 1).severed);
                for (String a : names(line.get("who"))) {
                    for (String b : names(line.get("from"))) {
                        if (a.equals(b)) {
                            continue;
                        }
                        Set<String> ways = Boolean.TRUE.equals(line.get("one_way")) ? Set.of(a + " " + b)
                            : Set.of(a + " " + b, b + " " + a);
                        if (is(line, "lab", "cut")) {
                            severed.addAll(ways);
                        } else {
                            severed.removeAll(ways);
                        }
                    }
                }
                past.add(new Ways(at(line), severed));
            } else if (is(line, null, "event") && "failed".equals(line.get("event"))) {
                String of = (String) line.get("of"), by = (String) line.get("party");
                double from = Math.max(0, at(line) - MEMORY);
                boolean excused = awayWhileFleetRan(away, of, from, at(line)) || awayWhileFleetRan(away, by, from, at(line))
                    || stalled(of, at(line) - STALL_BEFORE, at(line) + STALL_AFTER)
                    || stalled(by, at(line) - STALL_BEFORE, at(line) + STALL_AFTER);
                for (int i = 0; i < past.size() && !excused; i++) {
                    double until = i + 1 < past.size() ? past.get(i + 1).since : Double.POSITIVE_INFINITY;
                    excused = until >= from && !joined(by, of, all, past.get(i).severed);
                }
                if (!excused) {
                    breach("false-failure", by + " found " + of + " dead, which was there all the time", line);
                }
            }
        }
    }

    /** Whether a question and its answer can pass, directly or by way of one other. */
    private static boolean joined(String by, String of, Set<String> all, Set<String> severed) {
        return all.stream().anyMatch(h -> !h.equals(by) && !severed.contains(by + " " + h) && !severed.contains(h + " " + by)
            && (h.equals(of) || !severed.contains(h + " " + of) && !severed.contains(of + " " + h)));
    }

    /** The time before the first start excuses nobody: who has not been there cannot be found dead. */
    private static boolean awayWhileFleetRan(Map<String, List<double[]>> away, String who, double from, double to) {
        return away.getOrDefault(who, List.of()).stream().anyMatch(s -> s[0] > 0 && s[0] <= to && s[1] >= from);
    }

    /** As each instance sees it, the lives of another only go up. */
    private void epochsGrow() {
        Map<String, Double> highest = new HashMap<>();
        for (Map<String, Object> line : lines) {
            if (is(line, "lab", "start")) {
                highest.keySet().removeIf(k -> k.startsWith(line.get("instance") + " "));
            } else if (is(line, null, "event") && "joined".equals(line.get("event"))) {
                String key = line.get("party") + " sees " + line.get("of");
                double epoch = ((Number) line.get("epoch")).doubleValue();
                if (epoch < highest.getOrDefault(key, -1.0)) {
                    breach("epochs", key + " in life " + (long) epoch + " after life " + highest.get(key).longValue(), line);
                }
                highest.put(key, epoch);
            }
        }
    }

    private void allAgreeAtTheEnd() {
        for (Map<String, Object> line : lines) {
            if (is(line, null, "view") && !names(line.get("alive")).equals(names(line.get("running")))) {
                breach("agree", line.get("party") + " sees " + line.get("alive") + " while " + line.get("running") + " run",
                    line);
            }
        }
    }
}
