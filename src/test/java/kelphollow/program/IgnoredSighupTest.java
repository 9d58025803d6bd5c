package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process inherits an ignored SIGHUP from its parent and then never receives the signal. Guards against a reload that
 * silently does not happen: the program warns at its start.
 */
@Timeout(60)
class IgnoredSighupTest {
    @TempDir
    Path folder;

    /** Returns the log of a program started by a shell that runs {@code before} first, up to its line about SIGHUP. */
    private String log(String before) throws IOException, InterruptedException {
        Path file = Files.writeString(folder.resolve("c.json"),
            Files.readString(Path.of("deploy/objects.json")).replaceFirst("\"listen\": \"[^\"]*\"",
                "\"listen\": \"127.0.0.1:0\""));
        Process program = new ProcessBuilder("sh", "-c", before + "exec \"$0\" \"$@\"",
            System.getProperty("java.home") + "/bin/java", "-cp", System.getProperty("java.class.path"),
            Main.class.getName(), "serve", "--config", file.toString()).redirectErrorStream(true).start();
        // Without the expected line the program would keep serving and the read loop would never end.
        CompletableFuture.delayedExecutor(20, TimeUnit.SECONDS).execute(program::destroyForcibly);
        StringBuilder log = new StringBuilder();
        try (BufferedReader output = program.inputReader()) {
            for (String line; (line = output.readLine()) != null;) {
                log.append(line).append('\n');
                if (line.contains("SIGHUP")) {
                    break;
                }
            }
        } finally {
            program.destroyForcibly().waitFor();
        }
        return log.toString();
    }

    @Test void theStartLogWarnsThatSighupIsIgnored() throws Exception {
        assertTrue(log("trap '' HUP; ").contains("WARNING SIGHUP is ignored"));
    }
}
