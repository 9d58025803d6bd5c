package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration readers: the values that they read, and the key that an error about an invalid file names. */
class ConfigTest {
    @TempDir
    Path folder;
    /** Text of a valid platform file. */
    private String platformFile;

    /** An invalid replacement for part of a file, and the text that the error must contain. */
    private record Fault(String original, String faulty, String named) {}

    @BeforeEach void makePlatformFile() throws Exception {
        String example = Files.readString(Path.of("deploy/objects.json"));
        String settings = example.substring(example.indexOf("\"settings\""), example.lastIndexOf('}'));
        platformFile = "{\"name\":\"n3\",\"listen\":\"127.0.0.1:6379\",\"discovery\":\"127.0.0.1:8500\","
            + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":512},"
            + "\"known\":{\"seq\":41,\"whole\":true,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.2:1\","
            + "\"site\":\"a\",\"block\":3,\"health\":\"ready\",\"born_ms\":0}]}," + settings + "}";
    }

    private PlatformConfig readPlatform(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("p.json"), text);
        return PlatformConfig.read(Map.of("GW_CONFIG", file.toString()));
    }

    private static ObjectConfig readObjects(String text) throws Exception {
        return ObjectConfig.read(new ConfigSection((Map<?, ?>) Json.parse(text), ""));
    }

    @Test void theFleetsObjectHasDefaults() throws Exception {
        ObjectConfig config = readObjects(Files.readString(Path.of("deploy/fleet-a.json")));

        assertEquals(0.1, config.fleet().options().retryShare());
        assertTrue(config.fleet().options().shedsLoad());
    }

    @Test void faultsOfTheFleetsObjectAreNamed() throws Exception {
        String good = Files.readString(Path.of("deploy/fleet-a.json"));
        for (List<String> fault : List.of(List.of("\"repeats\": -0.1", "fleet.repeats"),
            List.of("\"repeats\": \"few\"", "fleet.repeats"), List.of("\"shed\": 1", "fleet.shed"),
            List.of("\"findings\": \"no\"", "fleet.findings"), List.of("\"sheds\": true", "fleet.sheds"))) {
            String faulty = good.replace("\"fleet\": {", "\"fleet\": {" + fault.get(0) + ", ");
            assertNotEquals(good, faulty);

            ConfigurationException thrown = assertThrows(ConfigurationException.class, () -> readObjects(faulty),
                fault.get(0));

            assertTrue(thrown.getMessage().contains(fault.get(1)), thrown.getMessage());
        }
    }

    @Test void thePlatformsFileIsRead() throws Exception {
        PlatformConfig config = readPlatform(platformFile);

        assertEquals(512, config.sockets());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(12_000, config.idleTime(), "retired well before the node closes it");
        assertEquals(41, config.known().version());
    }

    @Test void faultsOfThePlatformsFileAreNamed() {
        for (Fault fault : List.of(
            new Fault("\"dial\":\"127.0.0.2:1\"", "\"dial\":7", "known: 'dial'"),
            new Fault("\"health\":\"ready\"", "\"health\":\"well\"", "'health' is 'well'"),
            new Fault("8c1f30d27a5be964", "seed", "seed"),
            new Fault("\"sockets\":512", "\"sockets\":1", "limits.sockets"),
            new Fault("\"discovery\":\"127.0.0.1:8500\",", "", "discovery is missing"),
            new Fault("\"most_tries\": 3", "\"most_tries\": 0", "settings.ceilings.most_tries"),
            new Fault("\"most_tries\": 3", "\"most_tries\": \"3\"", "settings.ceilings.most_tries"),
            new Fault("\"most_tries\": 3", "\"most_tries\": -1", "settings.ceilings.most_tries"),
            new Fault("\"deadline\": 1200.0", "\"deadline\": 0",
                "settings.request_classes[0].deadline must be a number above 0"),
            new Fault("\"deadline\": 1200.0", "\"deadline\": \"soon\"", "settings.request_classes[0].deadline"),
            new Fault("\"deadline\": 1200.0,", "", "settings.request_classes[0].deadline is missing"),
            new Fault("\"aim\": 250.0", "\"aim\": -5", "settings.request_classes[0].aim"))) {
            assertTrue(platformFile.contains(fault.original), fault.original);
            String faulty = platformFile.replace(fault.original, fault.faulty);

            ConfigurationException thrown = assertThrows(ConfigurationException.class, () -> readPlatform(faulty));

            assertTrue(thrown.getMessage().contains(fault.named), thrown.getMessage());
        }
    }

    @Test void anEmptyOrTruncatedFileIsRejected() {
        for (String truncated : List.of("", " ", platformFile.substring(0, platformFile.length() / 2),
            platformFile.substring(0, platformFile.length() - 1))) {
            assertThrows(ConfigurationException.class, () -> readPlatform(truncated), truncated.length() + " characters");
        }
    }

    @Test void theVariableThatNamesThePlatformsFileMustBeSet() {
        ConfigurationException thrown = assertThrows(ConfigurationException.class, () -> PlatformConfig.read(Map.of()));

        assertEquals("GW_CONFIG is not set", thrown.getMessage());
    }
}
