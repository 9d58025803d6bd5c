package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** When each instance was not there to answer: killed, leaving, or stopped, up to its next start or waking. */
final class Absences {
    /** In milliseconds; {@code to} is infinite while it lasts. */
    private record Span(double from, double to) {
        boolean overlaps(double start, double end) {
            return from <= end && to >= start;
        }
    }

    private static final Set<String> BEGINNINGS = Set.of("kill", "term", "stop");
    private static final Set<String> ENDS = Set.of("start", "cont");

    private final List<HistoryLine> lines;
    private final Map<String, List<Span>> spans = new HashMap<>();

    private Absences(List<HistoryLine> lines) {
        this.lines = lines;
    }

    /** Reads a history; {@code starving}: being without most of the processor counts too. */
    static Absences of(List<HistoryLine> lines, boolean starving) {
        Absences absences = new Absences(lines);
        for (HistoryLine line : lines) {
            if (HistoryLine.LAB.equals(line.party())) {
                absences.read(line, starving);
            }
        }
        return absences;
    }

    private void read(HistoryLine line, boolean starving) {
        String what = line.what();
        List<Span> known = spans.computeIfAbsent(line.text("instance"), instance -> new ArrayList<>());
        int last = known.size() - 1;
        boolean isAway = last >= 0 && known.get(last).to == Double.POSITIVE_INFINITY;
        if ((BEGINNINGS.contains(what) || starving && what.equals("starve")) && !isAway) {
            known.add(new Span(line.at(), Double.POSITIVE_INFINITY));
        } else if (what.equals("start") && known.isEmpty()) {
            known.add(new Span(0, line.at()));
        } else if ((ENDS.contains(what) || starving && what.equals("feed")) && isAway) {
            known.set(last, new Span(known.get(last).from, line.at()));
        }
    }

    /** Whether the instance was away at some moment of the span, in milliseconds. */
    boolean wasAway(String instance, double from, double to) {
        return spans.getOrDefault(instance, List.of()).stream().anyMatch(span -> span.overlaps(from, to));
    }

    /** The same without the time before its first start: who has not been there yet cannot be found dead. */
    boolean wasAwayOnceStarted(String instance, double from, double to) {
        return spans.getOrDefault(instance, List.of()).stream()
            .anyMatch(span -> span.from > 0 && span.overlaps(from, to));
    }

    /** Whether the instance itself reported, in the span, that the machine had let it stand still. */
    boolean wasStalled(String instance, double from, double to) {
        return lines.stream().anyMatch(line -> line.isEvent("stood_still") && instance.equals(line.party())
            && line.at() >= from && line.at() <= to);
    }
}
