package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import kelphollow.protocol.object.ObjectWarmup;
import kelphollow.protocol.resp.RespWarmup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit codes and messages of the command line. */
class ProgramTest {
    private static final String EXAMPLE = "deploy/objects.json";
    @TempDir
    Path folder;

    /** Exit code and output of a command. */
    private record Result(int code, String out, String err) {}

    /** An invalid replacement for part of a file, and the text that the error must contain. */
    private record Fault(String original, String faulty, String named) {}

    private static Result run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Main.run(List.of(args), new PrintStream(out), new PrintStream(err));
        return new Result(code, out.toString(), err.toString());
    }

    @Test void theExampleIsValid() {
        Result result = run("check-config", "--config", EXAMPLE);

        assertEquals(0, result.code, result.err);
        assertTrue(result.out.contains("gateway-hall-a is sound"), result.out);
    }

    @Test void versionNamesTheProgram() {
        assertTrue(run("version").out.startsWith("kelphollow "));
    }

    @Test void errorsOfAnInvalidFileNameTheKey() throws Exception {
        String good = Files.readString(Path.of(EXAMPLE));
        for (Fault fault : List.of(
            new Fault("\"plan\": \"padrao\"", "\"plan\": \"x\"", "buckets.symbols.plan"),
            new Fault("127.0.0.1:9000", "host:9000", "'listen'"),
            new Fault("\"shards\": 2", "\"shards\": 0", "objects.shards"),
            new Fault("\"read\": \"dump-read\"", "\"read\": \"dump-write\"", "objects.classes.read"),
            new Fault("\"bytes_per_unit\"", "\"byte_per_unit\"", "objects.byte_per_unit is not known"),
            new Fault("\"request_classes\"", "\"classes\"", "settings.request_classes"),
            new Fault("\"discovery\": \"automatic\",", "", "settings.discovery is missing"),
            new Fault("\"discovery\": \"automatic\"", "\"discovery\": \"pull\"", "settings.discovery is 'pull'"),
            new Fault("\"rate\": 40.0", "\"rate\": -1", "rate of plan padrao"),
            new Fault("\"port_value\": 9102", "\"port_value\": 0", "port_value"),
            new Fault("{\n  \"name\"", "{ name", "--config"))) {
            assertTrue(good.contains(fault.original), fault.original);
            Path file = Files.writeString(folder.resolve("c.json"), good.replace(fault.original, fault.faulty));
            for (String command : List.of("check-config", "serve")) {
                Result result = run(command, "--config", file.toString());

                assertEquals(2, result.code, fault.named);
                assertTrue(result.err.contains(fault.named), result.err);
            }
        }
    }

    @Test void invalidCommandLinesExitWithTheUsageCode() {
        assertEquals(2, run("serve", "--config", "no/such/file").code);
        assertEquals(2, run("bogus").code);
        assertEquals(2, run().code);
    }

    @Test void trainingServesARequest() {
        Result result = run("train", "--config", EXAMPLE);

        assertEquals(0, result.code, result.err);
        assertEquals("trained", result.out.strip());
    }

    @Test void warmingUpServesRequests() throws Exception {
        ObjectConfig config = ObjectConfig.read(EXAMPLE);
        assertTrue(RespWarmup.run(config.settings(), 1) > 20);
        assertTrue(ObjectWarmup.run(config.settings(), config.options(), 1) > 20);
    }
}
