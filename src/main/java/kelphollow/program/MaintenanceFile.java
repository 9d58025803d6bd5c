package kelphollow.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Set;
import java.util.logging.Logger;
import kelphollow.maintenance.MaintenanceSet;

/** The file that lists the nodes in maintenance, shared by both processes of an upgrade. Not thread-safe. */
final class MaintenanceFile {
    private static final Logger LOG = Logger.getLogger(MaintenanceFile.class.getName());
    private static final String NAME = "kelphollow-bans";

    private final Path file;
    /** The content that this process last wrote or read; {@link #readChange} reports only other content. */
    private String lastText = "";

    MaintenanceFile(Path file) {
        this.file = file;
    }

    /** Returns the default path, in {@code $TMPDIR}: the only folder that is writable. */
    static Path path() {
        return inTemporaryFolder(NAME);
    }

    /** Returns the path for one of several instances on the same machine. */
    static Path path(String instance) {
        return inTemporaryFolder(NAME + "-" + instance);
    }

    private static Path inTemporaryFolder(String name) {
        String folder = System.getenv("TMPDIR");
        return Path.of(folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder, name);
    }

    /** Writes a temporary file and renames it, so that a reader never sees a partial file. */
    void write(Set<String> nodes) throws IOException {
        String text = MaintenanceSet.format(nodes);
        Path temporary = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(temporary, text, StandardCharsets.US_ASCII);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lastText = text;
    }

    /** Returns the nodes in maintenance if another process has changed the file, else null. */
    Set<String> readChange() {
        String text;
        try {
            text = Files.exists(file) ? Files.readString(file, StandardCharsets.US_ASCII) : "";
        } catch (IOException e) {
            return null;
        }
        if (text.equals(lastText) || text.isEmpty()) {
            return null;
        }
        try {
            Set<String> nodes = MaintenanceSet.parse(text);
            lastText = text;
            return nodes;
        } catch (IllegalArgumentException e) {
            LOG.fine(() -> "maintenance file " + file + " ignored until it can be parsed: " + e.getMessage());
            return null;
        }
    }
}
