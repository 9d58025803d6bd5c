package kelphollow.lab;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** One line of a history as checks and statistics read it: time, party, event and further values by key. */
record HistoryLine(Map<String, Object> values) {
    /** The party that runs the scenario. */
    static final String LAB = "lab";

    static List<HistoryLine> of(List<Map<String, Object>> lines) {
        return lines.stream().map(HistoryLine::new).toList();
    }

    /** Time of the event, in milliseconds since the run began. */
    double at() {
        return number("at");
    }

    String party() {
        return text("party");
    }

    String what() {
        return text("what");
    }

    /** Whether the line is this event of this party. */
    boolean is(String party, String what) {
        return is(what) && party.equals(values.get("party"));
    }

    /** Whether the line is this event, of any party. */
    boolean is(String what) {
        return what.equals(values.get("what"));
    }

    /** Whether the line holds this event from an instance's own event log. */
    boolean isEvent(String event) {
        return is("event") && event.equals(values.get("event"));
    }

    /** The value as a string, or null if the key is missing. */
    String text(String key) {
        Object value = values.get(key);
        return value == null ? null : String.valueOf(value);
    }

    /** A number; the key must be present. */
    double number(String key) {
        return ((Number) values.get(key)).doubleValue();
    }

    /** An integer; the key must be present. */
    int integer(String key) {
        return ((Number) values.get(key)).intValue();
    }

    /** Whether the value is present and true. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(values.get(key));
    }

    /** The names in a list, sorted; empty if the key is missing. */
    Set<String> names(String key) {
        Set<String> names = new TreeSet<>();
        if (values.get(key) instanceof Iterable<?> all) {
            all.forEach(name -> names.add(String.valueOf(name)));
        }
        return names;
    }
}
