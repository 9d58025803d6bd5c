package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import kelphollow.names.KeyProbe;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Keys and enumerated values of the configuration files, and the environment variables. Operators and the platform write
 * them, so a change inside the program must not change one.
 */
class ConfigurationNamesTest {
    private static final String UNKNOWN_VALUE = "no-such-word";
    private static final String CONFIG_VARIABLE = "GW_CONFIG";
    private static final List<String> SHIPPED = List.of("objects.json", "objects-store.json", "fleet-a.json", "fleet-b.json",
        "fleet-c.json");
    /** Keys that may be missing, but must name the expected resource type if present. */
    private static final Set<String> CHECKED_ONLY = Set.of("xds.clusters[].@type", "xds.endpoints[].@type");
    /** File with the fields of xDS resources of which both JSON spellings must be accepted. */
    private static final String SPELLINGS = "xds-spellings.txt";

    @TempDir
    Path folder;
    private KeyProbe platform;
    private KeyProbe object;
    private KeyProbe inlineEndpoints;
    private KeyProbe endpointServer;

    @BeforeEach void readExamples() throws Exception {
        platform = new KeyProbe(RecordedNames.example("example-platform.json"), this::readPlatform);
        object = new KeyProbe(RecordedNames.example("example-object.json"), ConfigurationNamesTest::readObject);
        inlineEndpoints = new KeyProbe(withXds("example-xds-inline.json"), ConfigurationNamesTest::readObject);
        endpointServer = new KeyProbe(withXds("example-xds-server.json"), ConfigurationNamesTest::readObject);
    }

    private Object readPlatform(Map<?, ?> json) throws KeyProbe.Refused {
        return readPlatform(json, Map.of());
    }

    private Object readPlatform(Map<?, ?> json, Map<String, String> variables) throws KeyProbe.Refused {
        Map<String, String> environment = new LinkedHashMap<>(variables);
        environment.put(CONFIG_VARIABLE, folder.resolve("platform.json").toString());
        try {
            Files.writeString(folder.resolve("platform.json"), Json.write(json));
            return PlatformConfig.read(environment);
        } catch (ConfigurationException e) {
            throw new KeyProbe.Refused(e.getMessage());
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Object readObject(Map<?, ?> json) throws KeyProbe.Refused {
        try {
            return ObjectConfig.read(new ConfigSection(json, ""));
        } catch (ConfigurationException e) {
            throw new KeyProbe.Refused(e.getMessage());
        }
    }

    private static Map<?, ?> withXds(String file) throws Exception {
        Map<Object, Object> json = new LinkedHashMap<>(RecordedNames.example("example-object.json"));
        json.put("xds", RecordedNames.example(file));
        return json;
    }

    // ---------------------------------------------------------------- keys

    @Test void theExamplesHoldTheRecordedKeys() throws Exception {
        SortedSet<String> platformKeys = RecordedNames.keys(RecordedNames.example("example-platform.json"));
        RecordedNames.assertRecorded("platform-keys.txt", platformKeys);
        SortedSet<String> keys = new TreeSet<>(RecordedNames.keys(RecordedNames.example("example-object.json")));
        keys.addAll(RecordedNames.keys(withXds("example-xds-inline.json")));
        keys.addAll(RecordedNames.keys(withXds("example-xds-server.json")));
        RecordedNames.assertRecorded("object-keys.txt", keys);
    }

    @Test void eachKeyOfThePlatformsFileIsRead() {
        assertEquals(Set.of(), platform.keysNotUsed());
    }

    @Test void eachKeyOfAnObjectFileIsRead() {
        assertEquals(CHECKED_ONLY, object.keysNotUsed());
        assertEquals(Set.of(), inlineEndpoints.keysNotUsed());
        assertEquals(Set.of(), endpointServer.keysNotUsed());
        assertEquals(Set.of(), object.keysNotChecked());
    }

    @Test void unknownKeysAreRejectedInTheRecordedObjects() throws Exception {
        assertEquals(Set.of(), platform.objectsThatRefuseUnknownKeys(), "the platform may add keys");
        RecordedNames.assertRecorded("object-refuses-unknown.txt", object.objectsThatRefuseUnknownKeys());
    }

    @Test void bothSpellingsOfAnXdsFieldAreRead() throws Exception {
        for (String file : List.of("example-object.json", "example-xds-inline.json")) {
            Map<?, ?> json = file.contains("xds") ? withXds(file) : RecordedNames.example(file);
            String text = Json.write(json);
            String other = text;
            for (String line : RecordedNames.read(SPELLINGS)) {
                String[] spellings = line.split(" ");
                other = other.replace('"' + spellings[0] + '"', '"' + spellings[1] + '"');
            }
            assertNotEquals(text, other);
            assertEquals(object.outcome(json), object.outcome(Json.parse(other)), file);
        }
    }

    // ---------------------------------------------------------------- enumerated values

    @Test void eachValueOfThePlatformsFileIsAccepted() throws Exception {
        assertValuesAccepted("platform-words.txt", platform);
    }

    @Test void eachValueOfAnObjectFileIsAccepted() throws Exception {
        assertValuesAccepted("object-words.txt", object);
    }

    /** Each line holds a path, a value, and a letter that is the same for values with the same meaning. */
    private static void assertValuesAccepted(String file, KeyProbe probe) throws Exception {
        Map<String, Set<String>> meanings = new LinkedHashMap<>();
        Map<String, Set<String>> outcomes = new LinkedHashMap<>();
        for (String line : RecordedNames.read(file)) {
            String[] words = line.split(" ");
            String outcome = probe.outcomeWith(words[0], words[1]);
            assertFalse(KeyProbe.isRefused(outcome), line + ": " + outcome);
            meanings.computeIfAbsent(words[0], p -> new HashSet<>()).add(words[2]);
            outcomes.computeIfAbsent(words[0], p -> new HashSet<>()).add(outcome);
        }
        for (String path : meanings.keySet()) {
            assertEquals(meanings.get(path).size(), outcomes.get(path).size(), path + ": values keep their meanings");
            assertTrue(KeyProbe.isRefused(probe.outcomeWith(path, UNKNOWN_VALUE)), path);
        }
    }

    // ---------------------------------------------------------------- environment

    @Test void eachVariableReplacesItsKey() throws Exception {
        Map<Object, Object> bare = new LinkedHashMap<>(RecordedNames.example("example-platform.json"));
        Map<String, String> variables = new LinkedHashMap<>();
        for (String line : RecordedNames.read("environment.txt")) {
            String[] words = line.split(" ");
            if (words[0].equals(CONFIG_VARIABLE)) {
                continue;
            }
            Object value = bare.remove(words[1]);
            variables.put(words[0], value == null ? "0" : (String) value);
        }
        KeyProbe probe = new KeyProbe(variables, given -> {
            Map<String, String> environment = new LinkedHashMap<>();
            given.forEach((name, value) -> environment.put((String) name, (String) value));
            return readPlatform(bare, environment);
        });
        assertEquals(Set.of(), probe.keysNotUsed());
        assertEquals(CONFIG_VARIABLE + " is not set", configFault(variables));
    }

    private static String configFault(Map<String, String> environment) {
        try {
            PlatformConfig.read(environment);
            return "";
        } catch (ConfigurationException e) {
            return e.getMessage();
        }
    }

    // ---------------------------------------------------------------- shipped files

    @Test void eachShippedFileIsValid() {
        for (String file : SHIPPED) {
            String[] result = CommandNamesTest.run("check-config", "--config", "deploy/" + file);
            assertEquals("0", result[0], file + ": " + result[2]);
        }
    }
}
