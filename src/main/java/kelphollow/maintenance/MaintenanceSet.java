package kelphollow.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which storage nodes the operators have taken out for maintenance. A ban is a set, not a count: two calls out and
 * one call back free the node. No I/O and no clock of its own; the text form is what the next process reads.
 */
public final class MaintenanceSet {
    /** Longest id that a ban may name, in characters; a longer one is no storage node's. */
    public static final int LONGEST_ID = 128;
    private final Set<String> held = new TreeSet<>();

    /** Takes the node out; returns whether it was in. */
    public boolean take(String node) {
        return held.add(node);
    }

    /** Lets the node serve again; returns whether it was banned. */
    public boolean release(String node) {
        return held.remove(node);
    }

    public boolean holds(String node) {
        return held.contains(node);
    }

    /** The banned nodes, in order of their ids; a copy. */
    public Set<String> nodes() {
        return Collections.unmodifiableSet(new TreeSet<>(held));
    }

    /** What to take and what to release so that the bans become {@code told}: the file another process wrote. */
    public record Change(List<String> take, List<String> release) {
        public boolean none() {
            return take.isEmpty() && release.isEmpty();
        }
    }

    public Change towards(Set<String> told) {
        List<String> take = new ArrayList<>();
        List<String> release = new ArrayList<>();
        told.stream().filter(n -> !held.contains(n)).sorted().forEach(take::add);
        held.stream().filter(n -> !told.contains(n)).forEach(release::add);
        return new Change(take, release);
    }

    /** The text form: one id a line, and a last line {@code end} that shows the text is whole. */
    public static String text(Set<String> nodes) {
        StringBuilder out = new StringBuilder();
        new TreeSet<>(nodes).forEach(n -> out.append(n).append('\n'));
        return out.append("end\n").toString();
    }

    /**
     * Reads the text form.
     *
     * @throws IllegalArgumentException if the text is cut short (no last line {@code end}) or names an id that no
     *     ban could hold
     */
    public static Set<String> read(String text) {
        if (!text.endsWith("end\n")) {
            throw new IllegalArgumentException("the bans are cut short");
        }
        Set<String> nodes = new TreeSet<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length - 1; i++) {
            if (!validId(lines[i])) {
                throw new IllegalArgumentException("line " + (i + 1) + " is no storage node's id");
            }
            nodes.add(lines[i]);
        }
        return nodes;
    }

    /** Printable ASCII without spaces, 1 to {@link #LONGEST_ID} characters. */
    public static boolean validId(String id) {
        if (id.isEmpty() || id.length() > LONGEST_ID || id.equals("end")) {
            return false;
        }
        return id.chars().allMatch(c -> c > 0x20 && c < 0x7f);
    }
}
