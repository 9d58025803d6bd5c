package kelphollow.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.routing.SiblingList;

/**
 * The file in which a process keeps its endpoint list for the other process of an upgrade: a line with the source and the
 * version, a line for each usable node with the time of its last start, and {@code end}; fields are separated by tabs. It is
 * replaced as a whole. Not thread-safe.
 */
final class SiblingListFile {
    private static final String END = "end\n";
    private static final String SEPARATOR = "\t";

    private final Path file;
    /** What was last read; {@link #readChange} reports only other content. */
    private String lastText = "";

    SiblingListFile(Path file) {
        this.file = file;
    }

    /** Replaces the file. */
    void write(SiblingList list) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(temporary, text(list));
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the list if the file has changed since the last call, else null. */
    SiblingList readChange() throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        String text = Files.readString(file, StandardCharsets.UTF_8);
        if (text.equals(lastText)) {
            return null;
        }
        SiblingList list = parse(text);
        lastText = text;
        return list;
    }

    static String text(SiblingList list) {
        StringBuilder text = new StringBuilder();
        text.append(list.source()).append(SEPARATOR).append(list.version()).append('\n');
        new TreeMap<>(list.usable()).forEach((node, startedAt) -> {
            // A name that would break a line is left out: the sibling then does not use the node.
            if (node.chars().noneMatch(Character::isISOControl)) {
                text.append(node).append(SEPARATOR).append(startedAt).append('\n');
            }
        });
        return text.append(END).toString();
    }

    /** @throws IOException if the text is truncated or a line has another form */
    static SiblingList parse(String text) throws IOException {
        if (!text.endsWith(END)) {
            throw new IOException("truncated: the last line is not 'end'");
        }
        String[] lines = text.split("\n");
        try {
            String[] head = lines[0].split(SEPARATOR);
            Map<String, Double> usable = new HashMap<>();
            for (int i = 1; i < lines.length - 1; i++) {
                String[] words = lines[i].split(SEPARATOR);
                usable.put(words[0], Double.parseDouble(words[1]));
            }
            return new SiblingList(head[0], Long.parseLong(head[1]), usable);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            throw new IOException("a line is not a name and a number", e);
        }
    }
}
