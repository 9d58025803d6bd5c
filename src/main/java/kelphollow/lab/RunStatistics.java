package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Statistics of a history. Times are in milliseconds and up to 20 ms late, the interval in which events are read. */
final class RunStatistics {
    private static final int MAX_RECORDED_MS = 120_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final List<HistoryLine> lines;
    /** From a kill or stop of an instance until each other instance declares it failed. */
    private final Histogram detection = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    /** From the first notification of a drain until each instance follows it. */
    private final Histogram drainPropagation = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Histogram latency = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Histogram rejections = new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
    private final Map<String, Double> unavailableSince = new HashMap<>();
    /** Instances that follow the current drain. */
    private final Set<String> following = new HashSet<>();
    private final Set<String> unresponsive = new HashSet<>();
    private boolean draining;
    private double drainedAt = Double.NaN;
    private int requests;
    private int served;
    private int suspected;
    /** Attempts at nodes while these were unresponsive. */
    private int attemptsAtUnresponsive;
    private double datagrams;
    private double bytes;
    private double processorTime;
    private double upTime;

    RunStatistics(List<HistoryLine> lines) {
        this.lines = lines;
        lines.forEach(this::addLine);
    }

    private void addLine(HistoryLine line) {
        switch (line.what()) {
            case "kill", "stop" -> unavailableSince.put(line.text("instance"), line.at());
            case "start", "cont" -> unavailableSince.remove(line.text("instance"));
            case "ask" -> requests++;
            case "silent" -> unresponsive.add(line.text("node"));
            case "back" -> unresponsive.remove(line.text("node"));
            case "attempt" -> attemptsAtUnresponsive += unresponsive.contains(line.party()) ? 1 : 0;
            case "view" -> readView(line);
            case "answer" -> readAnswer(line);
            case "told" -> readDrain(line);
            case "event" -> readEvent(line);
            default -> {
                // not counted
            }
        }
    }

    private void readView(HistoryLine line) {
        datagrams += line.number("datagrams");
        bytes += line.number("bytes");
        processorTime += line.number("cpu_ms");
        upTime += line.number("up_ms");
    }

    private void readAnswer(HistoryLine line) {
        if (line.integer("status") == OK) {
            served++;
            latency.recordValue(latencyMs(line));
        } else if (line.integer("status") == UNAVAILABLE) {
            rejections.recordValue(latencyMs(line));
        }
    }

    private static long latencyMs(HistoryLine line) {
        return Math.max(0, Math.min(MAX_RECORDED_MS, (long) line.number("took")));
    }

    private void readDrain(HistoryLine line) {
        boolean drains = !line.names("draining").isEmpty();
        if (!draining && drains) {
            drainedAt = line.at();
            following.clear();
        }
        draining = drains;
    }

    private void readEvent(HistoryLine line) {
        String event = line.text("event");
        if ("suspected".equals(event)) {
            suspected++;
        }
        Double since = unavailableSince.get(line.text("of"));
        if ("failed".equals(event) && since != null) {
            detection.recordValue((long) (line.at() - since));
        }
        if ("cordoned".equals(event) && !line.names("nodes").isEmpty() && following.add(line.party())) {
            drainPropagation.recordValue((long) Math.max(0, line.at() - drainedAt));
        }
    }

    /** Returns a one-line summary for the report. */
    String summary() {
        StringBuilder summary = new StringBuilder(format("%d lines in %.1f s, %d requests, %d served; suspicions %d",
            lines.size(), lines.get(lines.size() - 1).at() / MILLIS_PER_SECOND, requests, served, suspected));
        if (attemptsAtUnresponsive > 0) {
            summary.append("; attempts at silent nodes ").append(attemptsAtUnresponsive);
        }
        if (upTime > 0) {
            summary.append(format("; an instance: %.1f datagrams and %.0f bytes a second, %.1f%% of a core",
                datagrams / upTime * MILLIS_PER_SECOND, bytes / upTime * MILLIS_PER_SECOND, processorTime / upTime * 100));
        }
        List<LoadPhase.Rates> phases = phases();
        if (phases.size() > 1) {
            phases.forEach(phase -> summary.append(format("; of %.0f a second %.0f served, %.0f in time, worth %.0f",
                phase.offered(), phase.served(), phase.inTime(), phase.weighted())));
        }
        return summary.append(percentiles("refusals", rejections)).append(percentiles("latencies", latency))
            .append(percentiles("deaths found", detection)).append(percentiles("drains followed", drainPropagation))
            .toString();
    }

    private static String percentiles(String what, Histogram values) {
        return values.getTotalCount() == 0 ? "" : format("; %s %d, median %d ms, 99th percentile %d ms", what,
            values.getTotalCount(), values.getValueAtPercentile(50), values.getValueAtPercentile(99));
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }

    /** Returns the rates of each load phase that had requests. */
    List<LoadPhase.Rates> phases() {
        Map<String, HistoryLine> offered = new HashMap<>();
        Map<String, LoadPhase> phaseOf = new HashMap<>();
        List<LoadPhase> phases = new ArrayList<>();
        for (HistoryLine line : lines) {
            String request = line.text("request");
            if (line.is("load")) {
                phases.add(new LoadPhase(line.at()));
            } else if (line.is("ask") && !phases.isEmpty()) {
                LoadPhase phase = phases.get(phases.size() - 1);
                if (phase.countOffered(line.at())) {
                    offered.put(request, line);
                    phaseOf.put(request, phase);
                }
            } else if (line.is("answer") && phaseOf.containsKey(request) && line.integer("status") == OK) {
                serve(phaseOf.get(request), offered.get(request), line.number("took"));
            }
        }
        return phases.stream().filter(phase -> !phase.isEmpty()).map(LoadPhase::rates).toList();
    }

    private static void serve(LoadPhase phase, HistoryLine request, double took) {
        double objective = request.flag("write") ? InstanceConfig.WRITE_OBJECTIVE_MS : InstanceConfig.READ_OBJECTIVE_MS;
        phase.countServed(took <= objective, request.text("worth") == null ? 1 : request.number("worth"));
    }

    /** Requests of one second of the run, by whether they were served. */
    record Second(int served, int notServed) {}

    /** Returns the counts of each second of the run; a request counts in the second in which it was sent. */
    List<Second> seconds() {
        List<Second> seconds = new ArrayList<>();
        Map<String, Integer> secondOf = new HashMap<>();
        for (HistoryLine line : lines) {
            String request = line.text("request");
            if (line.is("ask")) {
                int second = (int) (line.at() / MILLIS_PER_SECOND);
                while (seconds.size() <= second) {
                    seconds.add(new Second(0, 0));
                }
                secondOf.put(request, second);
                Second before = seconds.get(second);
                seconds.set(second, new Second(before.served, before.notServed + 1));
            } else if (line.is("answer") && line.integer("status") == OK && secondOf.containsKey(request)) {
                int second = secondOf.get(request);
                Second before = seconds.get(second);
                seconds.set(second, new Second(before.served + 1, before.notServed - 1));
            }
        }
        return seconds;
    }
}
