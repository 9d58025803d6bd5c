package kelphollow.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The storage nodes that operators have put into maintenance. It does not count starts: one call ends the maintenance of a
 * node however often it was started. No I/O; the next process reads the text form. Confined to one thread.
 */
public final class MaintenanceSet {
    /** Maximum length of a storage node's id, in characters. */
    public static final int MAX_ID_LENGTH = 128;
    /** Last line of the text form; not a valid node id. */
    private static final String END = "end";

    private final Set<String> nodes = new TreeSet<>();

    /**
     * The difference between two sets.
     *
     * @param added nodes to add, in order of their ids
     * @param removed nodes to remove, in order of their ids
     */
    public record Change(List<String> added, List<String> removed) {
        /** Whether both sets are equal. */
        public boolean isEmpty() {
            return added.isEmpty() && removed.isEmpty();
        }
    }

    /** Adds a node; returns whether it was not in maintenance. */
    public boolean add(String node) {
        return nodes.add(node);
    }

    /** Removes a node; returns whether it was in maintenance. */
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

    /** Returns what to add and to remove so that exactly the wanted nodes are in maintenance. Changes nothing. */
    public Change changeTo(Set<String> wanted) {
        List<String> added = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        wanted.stream().filter(node -> !nodes.contains(node)).sorted().forEach(added::add);
        nodes.stream().filter(node -> !wanted.contains(node)).forEach(removed::add);
        return new Change(added, removed);
    }

    /** The text form: one id per line, and a last line {@code end} that shows that the text is complete. */
    public static String format(Set<String> nodes) {
        StringBuilder out = new StringBuilder();
        new TreeSet<>(nodes).forEach(node -> out.append(node).append('\n'));
        return out.append(END).append('\n').toString();
    }

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is truncated (no last line {@code end}) or has a line that is not an id
     */
    public static Set<String> parse(String text) {
        if (!text.endsWith(END + '\n')) {
            throw new IllegalArgumentException(
                "list of nodes in maintenance is truncated: it does not end with a line \"end\"");
        }
        Set<String> nodes = new TreeSet<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length - 1; i++) {
            if (!isValidId(lines[i])) {
                throw new IllegalArgumentException("line " + (i + 1)
                    + " of the nodes in maintenance is not a node id: expected 1 to "
                    + MAX_ID_LENGTH + " printable ASCII characters without spaces");
            }
            nodes.add(lines[i]);
        }
        return nodes;
    }

    /** Whether this is a valid node id: 1 to {@link #MAX_ID_LENGTH} printable ASCII characters without spaces. */
    public static boolean isValidId(String id) {
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH || id.equals(END)) {
            return false;
        }
        return id.chars().allMatch(c -> c > ' ' && c <= '~');
    }
}
