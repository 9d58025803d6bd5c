package kelphollow.program;

import java.util.Map;
import java.util.TreeMap;

/**
 * The file format in which the old process of an upgrade hands over the tokens of the volumes' rate limits: one line
 * {@code volume tokens} per volume, and a final line {@code end} that marks the file as complete.
 */
final class LimitHandoverFile {
    private static final String END = "end\n";

    private LimitHandoverFile() {}

    /** Formats the tokens, by volume. */
    static String text(Map<String, Double> tokens) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(tokens).forEach((volume, left) -> text.append(volume).append(' ').append(left).append('\n'));
        return text.append(END).toString();
    }

    /** Whether the text has been written to its end. */
    static boolean isComplete(String text) {
        return text.endsWith(END);
    }

    /**
     * Parses the tokens, by volume. The last blank of a line separates them, since a volume's name may contain blanks.
     *
     * @throws IllegalArgumentException if the text is truncated or a line is not a volume and a number
     */
    static Map<String, Double> read(String text) {
        if (!isComplete(text)) {
            throw new IllegalArgumentException("truncated: the last line is not 'end'");
        }
        Map<String, Double> tokens = new TreeMap<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length - 1; i++) {
            int separator = lines[i].lastIndexOf(' ');
            if (separator < 1) {
                throw new IllegalArgumentException("line " + (i + 1) + " is not a volume and a number");
            }
            tokens.put(lines[i].substring(0, separator), Double.parseDouble(lines[i].substring(separator + 1)));
        }
        return tokens;
    }
}
