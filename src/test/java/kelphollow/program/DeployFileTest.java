package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import kelphollow.names.RecordedNames;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The deploy file that the platform reads: its keys, and that every file, folder and command it names exists. */
class DeployFileTest {
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Path DECISIONS = Path.of("src/main/java/kelphollow/decision");
    /** Files of the decision package that hold its interface types and contain no policy. */
    private static final Set<String> INTERFACE = Set.of("package-info.java", "ControlApi.java", "ControlSettings.java",
        "ControlEvent.java", "ControlAction.java");
    private static final Pattern ENTRY = Pattern.compile("([a-z]+) = (\"(?:[^\"\\\\]|\\\\.)*\"|\\[.*])");
    private static final Pattern TEXT = Pattern.compile("\"([^\"]*)\"");
    private static final Pattern SHIPPED_FILE = Pattern.compile("deploy/[a-z./-]+");

    private final Map<String, String> entries = new LinkedHashMap<>();

    @BeforeEach void read() throws IOException {
        for (String line : Files.readAllLines(DEPLOY_FILE)) {
            if (!line.isBlank() && !line.startsWith("#")) {
                Matcher entry = ENTRY.matcher(line);
                assertTrue(entry.matches(), "expected a key with a string or a list: " + line);
                assertEquals(null, entries.put(entry.group(1), entry.group(2)), line);
            }
        }
    }

    private List<String> texts(String key) {
        assertNotNull(entries.get(key), key);
        List<String> texts = new ArrayList<>();
        for (Matcher text = TEXT.matcher(entries.get(key)); text.find();) {
            texts.add(text.group(1));
        }
        return texts;
    }

    @Test void keysAreThoseRecorded() throws IOException {
        RecordedNames.assertRecorded("deploy-keys.txt", entries.keySet());
    }

    /** Every file of the decision package is either listed as policy or one of the interface files. */
    @Test void thePolicyListsExactlyTheFilesOutsideTheInterface() throws IOException {
        Set<String> policyFiles = new TreeSet<>();
        try (Stream<Path> files = Files.list(DECISIONS)) {
            files.filter(file -> !INTERFACE.contains(file.getFileName().toString()))
                .forEach(file -> policyFiles.add(file.toString()));
        }
        List<String> policy = texts("policy");
        assertEquals(policyFiles, new TreeSet<>(policy));
        assertEquals(policyFiles.size(), policy.size(), "each file is listed once");
    }

    @Test void theNodeEntriesAreExistingFolders() {
        List<String> node = texts("node");
        assertFalse(node.isEmpty());
        for (String path : node) {
            assertTrue(Files.isDirectory(Path.of(path)), path);
        }
    }

    @Test void commandsNameExistingFilesAndSubCommands() throws IOException {
        for (Matcher file = SHIPPED_FILE.matcher(String.join(" ", entries.values())); file.find();) {
            assertTrue(Files.exists(Path.of(file.group())), file.group());
        }
        Set<String> commands = new TreeSet<>(RecordedNames.read("commands.txt"));
        assertTrue(entries.get("build").contains("-jar target/kelphollow.jar train --config deploy/"), entries.get("build"));
        assertTrue(entries.get("run").endsWith("-jar target/kelphollow.jar serve\""), entries.get("run"));
        assertTrue(entries.get("sim").endsWith("-jar target/kelphollow.jar adapter\""), entries.get("sim"));
        assertTrue(commands.containsAll(Set.of("train", "serve", "adapter")), "sub-commands used in the deploy file");
    }
}
