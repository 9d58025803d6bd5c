package kelphollow.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** What a history says in figures; times in milliseconds, late by up to the 20 ms in which events are read. */
final class Figures {
    private final List<Map<String, Object>> lines;
    /** From a kill or stop to each other instance's finding. */
    final Histogram detection = new Histogram(120_000, 3);
    /** From the first word of a drain to each other instance's following it. */
    final Histogram drains = new Histogram(120_000, 3);
    final Histogram latency = new Histogram(120_000, 3);
    final Histogram refusals = new Histogram(120_000, 3);
    int asked, served, suspected;
    /** Attempts at nodes while they said nothing. */
    int atSilent;
    private double datagrams, bytes, cpu, up;

    Figures(List<Map<String, Object>> lines) {
        this.lines = lines;
        Map<String, Double> awayAt = new HashMap<>();
        Map<String, Set<String>> heldBy = new HashMap<>();
        Set<String> drained = new HashSet<>();
        Set<String> silent = new HashSet<>();
        double told = Double.NaN;
        for (Map<String, Object> l : lines) {
            double at = ((Number) l.get("at")).doubleValue();
            String party = (String) l.get("party"), who = String.valueOf(l.get("instance"));
            switch ((String) l.get("what")) {
                case "kill", "stop" -> awayAt.put(who, at);
                case "start", "cont" -> awayAt.remove(who);
                case "ask" -> asked++;
                case "silent" -> silent.add(String.valueOf(l.get("node")));
                case "back" -> silent.remove(String.valueOf(l.get("node")));
                case "attempt" -> atSilent += silent.contains(party) ? 1 : 0;
                case "view" -> {
                    datagrams += ((Number) l.get("datagrams")).doubleValue();
                    bytes += ((Number) l.get("bytes")).doubleValue();
                    cpu += ((Number) l.get("cpu_ms")).doubleValue();
                    up += ((Number) l.get("up_ms")).doubleValue();
                }
                case "answer" -> {
                    if (((Number) l.get("status")).intValue() == 200) {
                        served++;
                        latency.recordValue(Math.max(0, Math.min(120_000, ((Number) l.get("took")).longValue())));
                    } else if (((Number) l.get("status")).intValue() == 503) {
                        refusals.recordValue(Math.max(0, Math.min(120_000, ((Number) l.get("took")).longValue())));
                    }
                }
                case "told" -> {
                    Set<String> now = names(l.get("draining"));
                    if (drained.isEmpty() && !now.isEmpty()) {
                        told = at;
                        heldBy.clear();
                    }
                    drained = now;
                }
                case "event" -> {
                    String event = String.valueOf(l.get("event"));
                    suspected += event.equals("suspected") ? 1 : 0;
                    Double since = awayAt.get(String.valueOf(l.get("of")));
                    if (event.equals("failed") && since != null) {
                        detection.recordValue((long) (at - since));
                    }
                    if (event.equals("cordoned") && !names(l.get("nodes")).isEmpty()
                        && heldBy.computeIfAbsent(party, p -> new HashSet<>()).isEmpty()) {
                        heldBy.get(party).add("held");
                        drains.recordValue((long) Math.max(0, at - told));
                    }
                }
                default -> {}
            }
        }
    }

    private static Set<String> names(Object list) {
        Set<String> names = new HashSet<>();
        if (list instanceof Iterable<?> all) {
            all.forEach(n -> names.add(String.valueOf(n)));
        }
        return names;
    }

    private static String spread(String what, Histogram h) {
        return h.getTotalCount() == 0 ? "" : String.format(Locale.ROOT, "; %s %d, median %d ms, 99th percentile %d ms", what,
            h.getTotalCount(), h.getValueAtPercentile(50), h.getValueAtPercentile(99));
    }

    String summary() {
        return String.format(Locale.ROOT, "%d lines in %.1f s, %d requests, %d served; suspicions %d", lines.size(),
            ((Number) lines.get(lines.size() - 1).get("at")).doubleValue() / 1_000, asked, served, suspected)
            + (atSilent > 0 ? "; attempts at silent nodes " + atSilent : "")
            + (up > 0 ? String.format(Locale.ROOT, "; an instance: %.1f datagrams and %.0f bytes a second, %.1f%% of a core",
                datagrams / up * 1_000, bytes / up * 1_000, cpu / up * 100) : "")
            + phases().stream().filter(p -> phases().size() > 1).map(p -> String.format(Locale.ROOT,
                "; of %.0f a second %.0f served, %.0f in time, worth %.0f", p[0], p[1], p[2], p[3])).collect(
                    java.util.stream.Collectors.joining())
            + spread("refusals", refusals) + spread("latencies", latency) + spread("deaths found", detection) + spread(
                "drains followed", drains);
    }

    /**
     * For each load: what was offered, what was served, what was served within the class's aim and its worth, a second; a phase lasts to
     * the next load, or to the last request, and its first second is left out. One row a phase.
     */
    List<double[]> phases() {
        Map<String, Map<String, Object>> asks = new HashMap<>();
        List<double[]> phases = new ArrayList<>();   // offered, served, in time, worth of that, from, to
        Map<String, double[]> of = new HashMap<>();
        for (Map<String, Object> l : lines) {
            double at = ((Number) l.get("at")).doubleValue();
            if (l.get("what").equals("load")) {
                phases.add(new double[] {0, 0, 0, 0, at + 1_000, at + 1_000});
            } else if (l.get("what").equals("ask") && !phases.isEmpty()) {
                double[] phase = phases.get(phases.size() - 1);
                if (at > phase[4]) {
                    phase[0]++;
                    phase[5] = at;
                    asks.put((String) l.get("request"), l);
                    of.put((String) l.get("request"), phase);
                }
            } else if (l.get("what").equals("answer") && of.containsKey(String.valueOf(l.get("request")))
                && ((Number) l.get("status")).intValue() == 200) {
                String request = (String) l.get("request");
                double[] phase = of.get(request);
                phase[1]++;
                double aim = Boolean.TRUE.equals(asks.get(request).get("write")) ? Instances.WRITE_AIM : Instances.READ_AIM;
                if (((Number) l.get("took")).doubleValue() <= aim) {
                    phase[2]++;
                    phase[3] += ((Number) asks.get(request).getOrDefault("worth", 1)).doubleValue();
                }
            }
        }
        return phases.stream().filter(p -> p[5] > p[4]).map(p -> Arrays.stream(p, 0, 4)
            .map(sum -> sum / (p[5] - p[4]) * 1_000).toArray()).toList();
    }

    /** Served and not served by second of when they were due, for a picture. */
    List<double[]> service() {
        List<double[]> seconds = new ArrayList<>();
        Map<String, Integer> askedAt = new HashMap<>();
        for (Map<String, Object> l : lines) {
            if (l.get("what").equals("ask")) {
                int second = (int) (((Number) l.get("at")).doubleValue() / 1_000);
                while (seconds.size() <= second) {
                    seconds.add(new double[2]);
                }
                askedAt.put((String) l.get("request"), second);
                seconds.get(second)[1]++;
            } else if (l.get("what").equals("answer") && ((Number) l.get("status")).intValue() == 200
                && askedAt.containsKey(String.valueOf(l.get("request")))) {
                double[] s = seconds.get(askedAt.get(String.valueOf(l.get("request"))));
                s[0]++;
                s[1]--;
            }
        }
        return seconds;
    }
}
