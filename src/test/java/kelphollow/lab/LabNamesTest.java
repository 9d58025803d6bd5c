package kelphollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;
import kelphollow.names.KeyProbe;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;

/** Guards the keys and words of scenario files, and the names in the histories of runs, against unintended changes. */
class LabNamesTest {
    private static final Path SCENARIOS = Path.of("src/lab/scenarios");
    private static final String UNKNOWN_WORD = "no-such-word";
    /** An action applies to instances or to nodes, and may need a second list of either. */
    private static final List<String> PARTIES = List.of("i0", "n0");

    private static KeyProbe probe() throws IOException {
        return new KeyProbe(RecordedNames.example("example-lab.json"), LabNamesTest::read);
    }

    private static Scenario read(Map<?, ?> json) throws KeyProbe.Refused {
        try {
            return ScenarioReader.read(json);
        } catch (InvalidScenarioException e) {
            throw new KeyProbe.Refused(e.getMessage());
        }
    }

    @Test void everyScenarioKeyIsRead() throws Exception {
        RecordedNames.assertRecorded("lab-keys.txt", RecordedNames.keys(RecordedNames.example("example-lab.json")));
        assertEquals(Set.of(), probe().keysNotUsed());
    }

    @Test void objectsThatRejectUnknownKeysAreAsRecorded() throws Exception {
        RecordedNames.assertRecorded("lab-refuses-unknown.txt", probe().objectsThatRefuseUnknownKeys());
    }

    @Test void everyShippedScenarioIsValid() throws Exception {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            for (Path file : files.toList()) {
                read((Map<?, ?>) Json.parse(Files.readString(file)));
            }
        }
    }

    /** Each recorded line holds a key and a word. The word of a condition is also written to the history, in upper case. */
    @Test void everyStepWordIsUnderstood() throws Exception {
        Set<Object> meanings = new HashSet<>();
        for (String line : RecordedNames.read("lab-words.txt")) {
            String[] words = line.split(" ");
            Scenario.Step step = step(words[0], words[1]);
            meanings.add(words[0].equals("do") ? step.action() : step.condition());
            if (words[0].equals("wait")) {
                assertEquals(words[1].toUpperCase(Locale.ROOT), step.condition().name());
            }
        }
        assertEquals(RecordedNames.read("lab-words.txt").size(), meanings.size(), "each word must have its own meaning");
        for (String key : List.of("do", "wait")) {
            String outcome = probe().outcomeWith("steps[]." + key, UNKNOWN_WORD);
            assertTrue(KeyProbe.isRefused(outcome) && outcome.contains(UNKNOWN_WORD), outcome);
        }
    }

    private static Scenario.Step step(String key, String word) throws IOException {
        String rejected = "";
        for (String who : PARTIES) {
            for (String from : PARTIES) {
                try {
                    return read(withStep(key, word, who, from)).steps().get(0);
                } catch (KeyProbe.Refused e) {
                    rejected = e.getMessage();
                }
            }
        }
        throw new AssertionError(key + " " + word + ": " + rejected);
    }

    private static Map<?, ?> withStep(String key, String word, String who, String from) throws IOException {
        Map<Object, Object> json = new LinkedHashMap<>(RecordedNames.example("example-lab.json"));
        Map<Object, Object> step = new LinkedHashMap<>((Map<?, ?>) ((List<?>) json.get("steps")).get(0));
        step.put(key, word);
        step.put("who", List.of(who));
        step.put("from", List.of(from));
        json.put("steps", List.of(step));
        return json;
    }

    /**
     * Asserts that each line of a run's history has a recorded form: party, event and keys. Tests that run processes call
     * this, since most lines occur only there.
     */
    static void assertHistoryHasRecordedNames(Path history) throws IOException {
        SortedSet<String> forms = new TreeSet<>();
        for (String text : Files.readAllLines(history)) {
            Map<?, ?> line = (Map<?, ?>) Json.parse(text);
            String party = ((String) line.get("party")).replaceFirst("^i\\d+$", "instance").replaceFirst("^n\\d+$", "node");
            SortedSet<String> keys = new TreeSet<>();
            line.keySet().forEach(key -> keys.add((String) key));
            forms.add(party + " " + line.get("what") + ": " + String.join(" ", keys));
        }
        assertFalse(forms.isEmpty(), history + " is empty");
        RecordedNames.assertAmongRecorded("lab-history.txt", forms);
    }
}
