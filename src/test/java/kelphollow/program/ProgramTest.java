package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.resp.RespWarmup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line and the configuration, as an operator meets them. */
class ProgramTest {
    @TempDir
    Path folder;

    private static String[] run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(), err = new ByteArrayOutputStream();
        int code = Main.run(List.of(args), new PrintStream(out), new PrintStream(err));
        return new String[] {String.valueOf(code), out.toString(), err.toString()};
    }

    @Test void theExampleIsSound() {
        String[] r = run("check-config", "--config", "deploy/objects.json");
        assertEquals("0", r[0], r[2]);
        assertTrue(r[1].contains("gateway-hall-a is sound"), r[1]);
        assertTrue(run("version")[1].startsWith("kelphollow "));
    }

    @Test void aFaultyFileIsNamedByItsKey() throws Exception {
        String good = Files.readString(Path.of("deploy/objects.json"));
        for (String[] fault : new String[][] {{"\"plan\": \"padrao\"", "\"plan\": \"x\"", "buckets.symbols.plan"},
            {"127.0.0.1:9000", "host:9000", "'listen'"}, {"\"shards\": 2", "\"shards\": 0", "objects.shards"},
            {"\"read\": \"dump-read\"", "\"read\": \"dump-write\"", "objects.classes.read"},
            {"\"bytes_per_unit\"", "\"byte_per_unit\"", "objects.byte_per_unit is not known"},
            {"\"request_classes\"", "\"classes\"", "settings.request_classes"},
            {"\"discovery\": \"automatic\",", "", "settings.discovery is missing"},
            {"\"discovery\": \"automatic\"", "\"discovery\": \"pull\"", "settings.discovery is 'pull'"},
            {"\"rate\": 40.0", "\"rate\": -1", "rate of plan padrao"}, {"\"port_value\": 9102", "\"port_value\": 0",
                "port_value"},
            {"{\n  \"name\"", "{ name", "--config"}}) {
            assertTrue(good.contains(fault[0]), fault[0]);
            Path file = Files.writeString(folder.resolve("c.json"), good.replace(fault[0], fault[1]));
            for (String command : List.of("check-config", "serve")) {
                String[] r = run(command, "--config", file.toString());
                assertEquals("2", r[0], fault[2]);
                assertTrue(r[2].contains(fault[2]), r[2]);
            }
        }
        assertEquals("2", run("serve", "--config", "no/such/file")[0]);
        assertEquals("2", run("bogus")[0]);
        assertEquals("2", run()[0]);
    }

    @Test void faultsOfTheFleetsObjectAreNamed() throws Exception {
        String good = Files.readString(Path.of("deploy/fleet-a.json"));
        assertEquals(0.1, ObjectConfig.read((Map<?, ?>) Json.parse(good)).fleet().options().repeats());
        assertTrue(ObjectConfig.read((Map<?, ?>) Json.parse(good)).fleet().options().shed());
        for (String[] fault : new String[][] {{"\"repeats\": -0.1", "fleet.repeats"}, {"\"repeats\": \"few\"",
            "fleet.repeats"},
            {"\"shed\": 1", "fleet.shed"}, {"\"findings\": \"no\"", "fleet.findings"}, {"\"sheds\": true", "fleet.sheds"}}) {
            String bad = good.replace("\"fleet\": {", "\"fleet\": {" + fault[0] + ", ");
            assertNotEquals(good, bad);
            Config.Bad told = assertThrows(Config.Bad.class, () -> ObjectConfig.read((Map<?, ?>) Json.parse(bad)), fault[0]);
            assertTrue(told.getMessage().contains(fault[1]), told.getMessage());
        }
    }

    @Test void thePlatformsFileIsReadAndItsFaultsAreNamed() throws Exception {
        String example = Files.readString(Path.of("deploy/objects.json"));
        String settings = example.substring(example.indexOf("\"settings\""), example.lastIndexOf('}'));
        String good =
            "{\"name\":\"n3\",\"listen\":\"127.0.0.1:6379\",\"discovery\":\"127.0.0.1:8500\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"sockets\":512},\"known\":{\"seq\":41,\"whole\":true,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.2:1\","
                + "\"site\":\"a\",\"block\":3,\"health\":\"ready\",\"born_ms\":0}]}," + settings + "}";
        Config config = platform(good);
        assertEquals(512, config.sockets());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(12_000, config.idleTime(), "retired well before the node closes it");
        assertEquals(41, config.known().version());
        for (String[] fault : new String[][] {{"\"dial\":\"127.0.0.2:1\"", "\"dial\":7", "known: 'dial'"},
            {"\"health\":\"ready\"", "\"health\":\"well\"", "'health' is 'well'"}, {"8c1f30d27a5be964", "seed", "seed"},
            {"\"sockets\":512", "\"sockets\":1", "limits.sockets"}, {"\"discovery\":\"127.0.0.1:8500\",", "",
                "discovery is missing"},
            {"\"most_tries\": 3", "\"most_tries\": 0", "settings.ceilings.most_tries"},
            {"\"most_tries\": 3", "\"most_tries\": \"3\"", "settings.ceilings.most_tries"},
            {"\"most_tries\": 3", "\"most_tries\": -1", "settings.ceilings.most_tries"},
            {"\"deadline\": 1200.0", "\"deadline\": 0", "settings.request_classes[0].deadline must be a number above 0"},
            {"\"deadline\": 1200.0", "\"deadline\": \"soon\"", "settings.request_classes[0].deadline"},
            {"\"deadline\": 1200.0,", "", "settings.request_classes[0].deadline is missing"},
            {"\"aim\": 250.0", "\"aim\": -5", "settings.request_classes[0].aim"}}) {
            assertTrue(good.contains(fault[0]), fault[0]);
            String told = assertThrows(Config.Bad.class, () -> platform(good.replace(fault[0], fault[1]))).getMessage();
            assertTrue(told.contains(fault[2]), told);
        }
        for (String cut : new String[] {"", " ", good.substring(0, good.length() / 2), good.substring(0, good.length()
            - 1)}) {
            assertThrows(Config.Bad.class, () -> platform(cut), "an empty or cut file is turned down: " + cut.length());
        }
        assertEquals("GW_CONFIG is not set", assertThrows(Config.Bad.class, () -> Config.platform(Map.of())).getMessage());
    }

    private Config platform(String text) throws Exception {
        return Config.platform(Map.of("GW_CONFIG", Files.writeString(folder.resolve("p.json"), text).toString()));
    }

    @Test void trainingServesARequest() {
        String[] r = run("train", "--config", "deploy/objects.json");
        assertEquals("0", r[0], r[2]);
        assertEquals("trained", r[1].strip());
    }

    @Test void warmingUpServesRequests() throws Exception {
        assertTrue(RespWarmup.run(ObjectConfig.read("deploy/objects.json").settings(), 1) > 20);
    }
}
