package kelphollow.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Invalid scenarios and those too large for the machine are rejected, with the key, before anything starts. */
class ScaleScenarioTest {
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{'name':'t'}|instances",
        "{'name':'t','instances':1}|instances",
        "{'name':'t','instances':1100}|instances",
        "{'name':'t','instances':300,'real':201}|real",
        "{'name':'t','instances':9,'real':9}|real",
        "{'name':'t','instances':9,'regions':3,'zones':2}|zones",
        "{'name':'t','instances':9,'nodes':3,'part':{'drains':3}}|nodes",
        "{'name':'t','instances':9,'part':{'drain':3}}|part.drain",
        "{'name':'t','instances':9,'network':{'loss':2}}|network.loss",
        "{'name':'t','instances':9,'aims':{'speed':2}}|aims.speed",
        "{'name':'t','instances':9,'steps':[{'at_ms':1,'do':'melt'}]}|steps[0].do",
        "{'name':'t','instances':9,'steps':[{'at_ms':5,'do':'heal'},{'at_ms':1,'do':'heal'}]}|steps[1].at_ms",
        "{'name':'t','instances':9,'real':2,'steps':[{'at_ms':5,'do':'kill','first':7}]}|steps[0].first"
    }) void anInvalidScenarioIsRejected(
        String json, String key) throws Exception {
        Map<?, ?> parsed = (Map<?, ?>) Json.parse(json.replace('\'', '"'));
        String message = assertThrows(ScaleScenario.InvalidScenario.class, () -> ScenarioReader.read(parsed)).getMessage();
        assertTrue(message.startsWith(key), message);
    }

    @Test void aScenarioThatNeedsMoreThanHalfTheMachineMemoryIsRejected() throws Exception {
        ScaleScenario simulated = ScenarioReader.read(Map.of("name", "t", "instances", 900.0));
        assertTrue(assertThrows(ScaleScenario.InvalidScenario.class, () -> Scale.checkMemory(simulated, 1L << 30))
            .getMessage()
            .startsWith("instances"));
        ScaleScenario real = ScenarioReader.read(Map.of("name", "t", "instances", 200.0, "real", 100.0));
        assertTrue(assertThrows(ScaleScenario.InvalidScenario.class, () -> Scale.checkMemory(real, 8L << 30)).getMessage()
            .startsWith("real"));
    }

    @Test void theCommandReportsFileAndKeyOfAnInvalidScenario(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("s.json"), "{\"name\":\"t\",\"instances\":20}");
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Scale.Options options = new Scale.Options(file, List.of(5_000), Double.NaN, 1, null, null, true);
        assertEquals(Scale.INVALID, Scale.run(options, System.out, new PrintStream(err)));
        assertTrue(err.toString().contains("s.json: instances"), err.toString());
    }

    @Test void zonesAreBlocksOfEqualSize() throws Exception {
        ScaleScenario scenario = ScenarioReader.read(Map.of("name", "t", "instances", 510.0, "regions", 3.0, "zones", 6.0));
        for (int zone = 0; zone < 6; zone++) {
            int current = zone;
            assertEquals(85, IntStream.range(0, 510).filter(i -> scenario.zoneOf(i) == current).count());
        }
        assertEquals(2, scenario.regionOf(509));
    }
}
