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

/** Keys and words of the lab's scenario files, and names in the histories that its runs leave. */
class LabNamesTest {
    private static final Path SCENARIOS = Path.of("src/lab/scenarios");
    private static final String UNKNOWN_WORD = "no-such-word";
    /** A fault is for instances or for nodes, and may need another side of either. */
    private static final List<String> PARTIES = List.of("i0", "n0");

    private static KeyProbe probe() throws IOException {
        return new KeyProbe(RecordedNames.example("example-lab.json"), LabNamesTest::read);
    }

    private static Scenario read(Map<?, ?> json) throws KeyProbe.Refused {
        try {
            return Scenario.read(json);
        } catch (Scenario.Bad e) {
            throw new KeyProbe.Refused(e.getMessage());
        }
    }

    @Test void eachKeyOfAScenarioIsRead() throws Exception {
        RecordedNames.assertRecorded("lab-keys.txt", RecordedNames.keys(RecordedNames.example("example-lab.json")));
        assertEquals(Set.of(), probe().keysNotUsed());
    }

    @Test void unknownKeysAreRefusedWhereTheyWere() throws Exception {
        RecordedNames.assertRecorded("lab-refuses-unknown.txt", probe().objectsThatRefuseUnknownKeys());
    }

    @Test void eachShippedScenarioIsRead() throws Exception {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            for (Path file : files.toList()) {
                read((Map<?, ?>) Json.parse(Files.readString(file)));
            }
        }
    }

    /** Lines hold the key and the word. What a step waits for is written into the history too, in capitals. */
    @Test void eachWordOfAStepIsUnderstood() throws Exception {
        Set<Object> meanings = new HashSet<>();
        for (String line : RecordedNames.read("lab-words.txt")) {
            String[] words = line.split(" ");
            Scenario.Step step = step(words[0], words[1]);
            meanings.add(words[0].equals("do") ? step.deed() : step.until());
            if (words[0].equals("wait")) {
                assertEquals(words[1].toUpperCase(Locale.ROOT), step.until().name());
            }
        }
        assertEquals(RecordedNames.read("lab-words.txt").size(), meanings.size(), "each word has a meaning of its own");
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
     * Each line of a run's history has a recorded form: who tells it, what it tells and by which keys. Runs call this, since
     * most lines come only with processes.
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
