package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Periods in which each instance could not answer: from a kill, SIGTERM or SIGSTOP to its next start or SIGCONT. */
final class Unavailability {
    /** One period, in milliseconds; {@code to} is infinite while it lasts. */
    private record Span(double from, double to) {
        boolean overlaps(double start, double end) {
            return from <= end && to >= start;
        }
    }

    private static final Set<String> START_EVENTS = Set.of("kill", "term", "stop");
    private static final Set<String> END_EVENTS = Set.of("start", "cont");

    private final List<HistoryLine> lines;
    private final Map<String, List<Span>> spans = new HashMap<>();

    private Unavailability(List<HistoryLine> lines) {
        this.lines = lines;
    }

    /** Collects the periods from a history; with {@code includeStarvation}, CPU starvation counts as unavailable too. */
    static Unavailability of(List<HistoryLine> lines, boolean includeStarvation) {
        Unavailability unavailability = new Unavailability(lines);
        for (HistoryLine line : lines) {
            if (HistoryLine.LAB.equals(line.party())) {
                unavailability.addLine(line, includeStarvation);
            }
        }
        return unavailability;
    }

    private void addLine(HistoryLine line, boolean includeStarvation) {
        String what = line.what();
        List<Span> ofInstance = spans.computeIfAbsent(line.text("instance"), instance -> new ArrayList<>());
        int last = ofInstance.size() - 1;
        boolean isUnavailable = last >= 0 && ofInstance.get(last).to == Double.POSITIVE_INFINITY;
        if ((START_EVENTS.contains(what) || includeStarvation && what.equals("starve")) && !isUnavailable) {
            ofInstance.add(new Span(line.at(), Double.POSITIVE_INFINITY));
        } else if (what.equals("start") && ofInstance.isEmpty()) {
            ofInstance.add(new Span(0, line.at()));
        } else if ((END_EVENTS.contains(what) || includeStarvation && what.equals("feed")) && isUnavailable) {
            ofInstance.set(last, new Span(ofInstance.get(last).from, line.at()));
        }
    }

    /** Whether the instance was unavailable at any moment between two times, in milliseconds. */
    boolean wasUnavailable(String instance, double from, double to) {
        return spans.getOrDefault(instance, List.of()).stream().anyMatch(span -> span.overlaps(from, to));
    }

    /** Like {@link #wasUnavailable}, without the time before the first start: no failure can be detected before it. */
    boolean wasUnavailableAfterFirstStart(String instance, double from, double to) {
        return spans.getOrDefault(instance, List.of()).stream()
            .anyMatch(span -> span.from > 0 && span.overlaps(from, to));
    }

    /** Whether the instance itself reported a stall (no processor time) between two times. */
    boolean wasStalled(String instance, double from, double to) {
        return lines.stream().anyMatch(line -> line.isEvent("stood_still") && instance.equals(line.party())
            && line.at() >= from && line.at() <= to);
    }
}
