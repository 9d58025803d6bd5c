package kelphollow.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The storage nodes that operators have taken out for maintenance. A set, not a count: one call ends the maintenance of a
 * node however many have started it. No I/O; the text form is what the next process reads. For one thread.
 */
public final class MaintenanceSet {
    /** Longest id of a storage node, in characters. */
    public static final int MAX_ID_LENGTH = 128;
    /** Last line of the text form; no node's id. */
    private static final String END = "end";

    private final Set<String> nodes = new TreeSet<>();

    /**
     * The way from one set to another.
     *
     * @param added nodes that are missing, in order of their ids
     * @param removed nodes that are too many, in order of their ids
     */
    public record Change(List<String> added, List<String> removed) {
        /** Whether both sets are the same. */
        public boolean isEmpty() {
            return added.isEmpty() && removed.isEmpty();
        }
    }

    /** Adds a node; returns whether it was missing. */
    public boolean add(String node) {
        return nodes.add(node);
    }

    /** Removes a node; returns whether it was there. */
    public boolean remove(String node) {
        return nodes.remove(node);
    }

    /** Whether the node is in maintenance. */
    public boolean contains(String node) {
        return nodes.contains(node);
    }

    /** The nodes in maintenance, in order of their ids; a copy. */
    public Set<String> nodes() {
        return Collections.unmodifiableSet(new TreeSet<>(nodes));
    }

    /** What to add and to remove so that just the wanted nodes are in maintenance. Changes nothing. */
    public Change changeTo(Set<String> wanted) {
        List<String> added = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        wanted.stream().filter(node -> !nodes.contains(node)).sorted().forEach(added::add);
        nodes.stream().filter(node -> !wanted.contains(node)).forEach(removed::add);
        return new Change(added, removed);
    }

    /** The text form: one id a line, and a last line {@code end} which shows that the text is complete. */
    public static String format(Set<String> nodes) {
        StringBuilder out = new StringBuilder();
        new TreeSet<>(nodes).forEach(node -> out.append(node).append('\n'));
        return out.append(END).append('\n').toString();
    }

    /**
     * Reads the text form.
     *
     * @throws IllegalArgumentException if the text is truncated (no last line {@code end}) or has a line that is no id
     */
    public static Set<String> parse(String text) {
        if (!text.endsWith(END + '\n')) {
            throw new IllegalArgumentException("the list of nodes in maintenance is truncated");
        }
        Set<String> nodes = new TreeSet<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length - 1; i++) {
            if (!isValidId(lines[i])) {
                throw new IllegalArgumentException("line " + (i + 1) + " is no storage node's id");
            }
            nodes.add(lines[i]);
        }
        return nodes;
    }

    /** Whether this may be a node's id: printable ASCII without spaces, 1 to {@link #MAX_ID_LENGTH} characters. */
    public static boolean isValidId(String id) {
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH || id.equals(END)) {
            return false;
        }
        return id.chars().allMatch(c -> c > ' ' && c <= '~');
    }
}
