package kelphollow.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import kelphollow.names.KeyProbe;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the keys and fault names of scale scenarios, and the keys of a run's figures, with the recorded lists. */
class ScaleNamesTest {
    private static final Path SCENARIOS = Path.of("src/lab/scale");
    private static final String UNKNOWN_FAULT = "no-such-fault";
    private static final String SMALL = "{\"name\":\"t\",\"instances\":3,\"nodes\":10,\"period_ms\":50,\"fades_ms\":1000,"
        + "\"warmup_ms\":500,\"seconds\":1,\"drain_every_ms\":100}";

    private static KeyProbe probe() throws IOException {
        return new KeyProbe(RecordedNames.example("example-scale.json"), ScaleNamesTest::read);
    }

    private static Object read(Map<?, ?> json) throws KeyProbe.Refused {
        try {
            return ScenarioReader.read(json);
        } catch (ScaleScenario.InvalidScenario e) {
            throw new KeyProbe.Refused(e.getMessage());
        }
    }

    @Test void eachKeyOfAScenarioIsRead() throws Exception {
        RecordedNames.assertRecorded("scale-keys.txt", RecordedNames.keys(RecordedNames.example("example-scale.json")));
        assertEquals(Set.of(), probe().keysNotUsed());
    }

    @Test void unknownKeysAreRefusedWhereTheyWere() throws Exception {
        RecordedNames.assertRecorded("scale-refuses-unknown.txt", probe().objectsThatRefuseUnknownKeys());
    }

    @Test void eachShippedScenarioIsRead() throws Exception {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            for (Path file : files.toList()) {
                read((Map<?, ?>) Json.parse(Files.readString(file)));
            }
        }
    }

    @Test void eachRecordedFaultIsAccepted() throws Exception {
        Set<String> outcomes = new HashSet<>();
        List<String> faults = RecordedNames.read("scale-faults.txt");
        for (String fault : faults) {
            String outcome = probe().outcomeWith("steps[].do", fault);
            assertTrue(!KeyProbe.isRefused(outcome), fault + ": " + outcome);
            outcomes.add(outcome);
        }
        assertEquals(faults.size(), outcomes.size(), "fault names with different effects");
        assertTrue(KeyProbe.isRefused(probe().outcomeWith("steps[].do", UNKNOWN_FAULT)));
    }

    @Test void keysOfTheFiguresMatchTheRecordedOnes(@TempDir Path folder) throws Exception {
        Path scenario = Files.writeString(folder.resolve("scenario.json"), SMALL);
        Path figures = folder.resolve("figures.json");

        assertEquals(Scale.PASSED, runScenario(scenario, List.of(), figures));
        RecordedNames.assertRecorded("scale-report.txt", RecordedNames.keys(Json.parse(Files.readString(figures))));

        assertEquals(Scale.PASSED, runScenario(scenario, List.of(3, 4), figures));
        Map<?, ?> both = (Map<?, ?>) Json.parse(Files.readString(figures));
        assertEquals(Set.of("runs"), both.keySet());
        RecordedNames.assertRecorded("scale-report.txt", RecordedNames.keys(((List<?>) both.get("runs")).get(1)));
    }

    private static int runScenario(Path scenario, List<Integer> sizes, Path figures) throws Exception {
        Scale.Options options = new Scale.Options(scenario, sizes, Double.NaN, 1, null, figures, true);
        return Scale.run(options, new PrintStream(new ByteArrayOutputStream()), System.err);
    }
}
