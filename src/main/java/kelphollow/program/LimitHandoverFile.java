package kelphollow.program;

import java.util.Map;
import java.util.TreeMap;

/** The levels of volumes' limits as the old process of an upgrade hands them over: {@code volume level} a line. */
final class LimitHandoverFile {
    private LimitHandoverFile() {}

    static String text(Map<String, Double> levels) {
        StringBuilder out = new StringBuilder();
        new TreeMap<>(levels).forEach((volume, level) -> out.append(volume).append(' ').append(level).append('\n'));
        return out.append("end\n").toString();
    }

    /** @throws IllegalArgumentException if the text is cut short or a line is not a volume and a number */
    static Map<String, Double> read(String text) {
        if (!text.endsWith("end\n")) {
            throw new IllegalArgumentException("cut short");
        }
        Map<String, Double> levels = new TreeMap<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length - 1; i++) {
            String[] words = lines[i].split(" ");
            if (words.length != 2) {
                throw new IllegalArgumentException("line " + (i + 1) + " is not a volume and a level");
            }
            levels.put(words[0], Double.parseDouble(words[1]));
        }
        return levels;
    }
}
