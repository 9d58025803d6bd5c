package kelphollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;

/**
 * Fleets of five real processes under faults. Seven scenarios here; all of {@code src/lab/scenarios} in the profile
 * {@code fleet}.
 */
class LabTest {
    private static final Path SCENARIOS = Path.of("src/lab/scenarios");
    private static final List<String> SHORT = List.of("crash.json", "drain.json", "failing-nodes.json", "halves.json",
        "silent-node.json", "stopped.json",
        "uneven-broken.json");
    @TempDir
    Path folder;

    @TestFactory Stream<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            return files.sorted().filter(f -> Boolean.getBoolean("kelphollow.lab.all")
                || SHORT.contains(f.getFileName().toString())).toList().stream()
                .map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> play(f)));
        }
    }

    private void play(Path file) throws Exception {
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        int code = Lab.run(file, 1, folder.resolve(file.getFileName().toString()), new PrintStream(said), System.err);
        assertEquals(Lab.PASS, code, said::toString);
        LabNamesTest.assertHistoryHasRecordedNames(folder.resolve(file.getFileName().toString()).resolve("history.jsonl"));
        assertEquals(0, ProcessHandle.current().descendants().filter(p -> p.info().commandLine().orElse("")
            .contains(folder.toString())).count(), "a process is left");
    }

    @Test void aFaultyScenarioIsRefusedWholeNamingTheKey() throws Exception {
        String good = Files.readString(SCENARIOS.resolve("crash.json"));
        for (String[] fault : new String[][] {{"\"instances\": 5", "\"instances\": 0", "instances must be from 1"},
            {"\"instances\": 5,", "", "instances is missing"}, {"\"i1\"", "\"i9\"", "steps[0].who names i9"},
            {"\"kill\"", "\"murder\"", "steps[0].do is 'murder'"}, {"\"served\"", "\"later\"", "steps[0].wait is 'later'"},
            {"\"name\"", "\"nmae\"", "nmae is not known"}, {"\"event\": \"failed\", ", "", "steps[1].event is missing"},
            {"\"rate\": 40", "\"rate\": \"40\"", "clients.rate must be"}, {"\"steps\"", "\"step\"", "step is not known"},
            {"{\"name\"", "{name", "crash"}}) {
            assertTrue(good.contains(fault[0]), fault[0]);
            Path file = Files.writeString(folder.resolve("crash-bad.json"), good.replace(fault[0], fault[1]));
            ByteArrayOutputStream told = new ByteArrayOutputStream();
            assertEquals(Lab.BAD, Lab.run(file, 1, null, System.out, new PrintStream(told)), fault[2]);
            assertTrue(told.toString().contains(fault[2]), told.toString());
        }
    }
}
