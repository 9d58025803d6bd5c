package kelphollow.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Set;
import java.util.logging.Logger;
import kelphollow.maintenance.MaintenanceSet;

/** The file that keeps the nodes in maintenance, shared by both processes of an upgrade. For one thread. */
final class MaintenanceFile {
    private static final Logger LOG = Logger.getLogger(MaintenanceFile.class.getName());
    private static final String NAME = "kelphollow-bans";

    private final Path file;
    /** The text as this process last wrote or read it. */
    private String lastText = "";

    MaintenanceFile(Path file) {
        this.file = file;
    }

    /** In {@code $TMPDIR}, the one place that can be written to. */
    static Path path() {
        return inTemporaryFolder(NAME);
    }

    /** The same for an installation that runs several instances on one machine. */
    static Path path(String instance) {
        return inTemporaryFolder(NAME + "-" + instance);
    }

    private static Path inTemporaryFolder(String name) {
        String folder = System.getenv("TMPDIR");
        return Path.of(folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder, name);
    }

    /** Writes all, then renames: a reader sees the old text or the new one, never a part. */
    void write(Set<String> nodes) throws IOException {
        String text = MaintenanceSet.format(nodes);
        Path unfinished = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(unfinished, text, StandardCharsets.US_ASCII);
        Files.move(unfinished, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lastText = text;
    }

    /** The nodes in maintenance if another process has changed them, else null. */
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
            LOG.fine(() -> "bans file not taken yet: " + e.getMessage());
            return null;
        }
    }
}
