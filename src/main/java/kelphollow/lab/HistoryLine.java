package kelphollow.lab;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** One line of a history, as checks and statistics read it: who did what when, and further values by their keys. */
record HistoryLine(Map<String, Object> values) {
    /** The party that plays the scenario. */
    static final String LAB = "lab";

    static List<HistoryLine> of(List<Map<String, Object>> lines) {
        return lines.stream().map(HistoryLine::new).toList();
    }

    /** In milliseconds since the run began. */
    double at() {
        return number("at");
    }

    String party() {
        return text("party");
    }

    String what() {
        return text("what");
    }

    /** Whether this party did this. */
    boolean is(String party, String what) {
        return is(what) && party.equals(values.get("party"));
    }

    /** Whether any party did this. */
    boolean is(String what) {
        return what.equals(values.get("what"));
    }

    /** Whether an instance has reported this event. */
    boolean isEvent(String event) {
        return is("event") && event.equals(values.get("event"));
    }

    /** A text, or null if there is none. */
    String text(String key) {
        Object value = values.get(key);
        return value == null ? null : String.valueOf(value);
    }

    /** A number that must be there. */
    double number(String key) {
        return ((Number) values.get(key)).doubleValue();
    }

    /** An integer that must be there. */
    int integer(String key) {
        return ((Number) values.get(key)).intValue();
    }

    /** Whether it is there and true. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(values.get(key));
    }

    /** The names of a list in order, empty if there is none. */
    Set<String> names(String key) {
        Set<String> names = new TreeSet<>();
        if (values.get(key) instanceof Iterable<?> all) {
            all.forEach(name -> names.add(String.valueOf(name)));
        }
        return names;
    }
}
