package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.BufferedReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A second SIGTERM during shutdown, and a handover whose writer is killed before it is complete. */
@Timeout(60)
class RepeatedSigtermTest {
    private static final Pattern AT = Pattern.compile("(management|serves) at 127\\.0\\.0\\.1:(\\d+)");
    @TempDir
    Path folder;

    private Process start(InetSocketAddress discovery, InetSocketAddress node) throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\","
            + "\"mgmt\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.getPort() + "\","
            + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"n0\",\"dial\":\"127.0.0.1:" + node.getPort()
            + "\",\"site\":\"a\",\"block\":0,\"health\":\"ready\",\"born_ms\":0}]},"
            + "\"settings\":" + StartupTest.settings() + "}");
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp",
            System.getProperty("java.class.path"), Main.class.getName(), "serve").redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return builder.start();
    }

    /** Reads the log up to the line that names this address. */
    private static InetSocketAddress address(BufferedReader log, String of) throws Exception {
        for (String line; (line = log.readLine()) != null;) {
            Matcher at = AT.matcher(line);
            if (at.find() && at.group(1).equals(of)) {
                return new InetSocketAddress("127.0.0.1", Integer.parseInt(at.group(2)));
            }
        }
        return fail("the program ended before it logged the address of: " + of);
    }

    @Test void aSecondSigtermChangesNothingAndAcceptedRequestsAreAnswered() throws Exception {
        try (ScriptedPeer discovery = new ScriptedPeer(); ScriptedPeer node = new ScriptedPeer();
             ScriptedPeer clients = new ScriptedPeer()) {
            Process program = start(discovery.address(), node.address());
            try (BufferedReader log = program.inputReader()) {
                ScriptedPeer.Connection call = discovery.accept();
                call.until("\r\n\r\n");
                String list = FakeDiscovery.list(1, false);
                call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                InetSocketAddress management = address(log, "management");
                ScriptedPeer.Connection client = clients.connect(address(log, "serves"));
                client.send(ClientRaceTest.get("q"));
                node.accept().until("hosts=1\r\n");          // never answered
                program.toHandle().destroy();   // SIGTERM; Process.destroy would close the log as well
                ScriptedPeer.Connection status;
                do {                                         // the management port serves one call per connection
                    status = clients.connect(management).send("status\n");
                } while (!status.until("\n").startsWith("NAK leaving"));
                program.toHandle().destroy();
                program.toHandle().destroy();
                String answer = client.until("\r\n");
                assertTrue(answer.startsWith("-"), "accepted before SIGTERM, answered after it: " + answer);
                assertEquals("", client.until("\n"), "closed without a reset");
                assertTrue(program.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, program.exitValue());
                assertTrue(log.lines().anyMatch(l -> l.equals("kelphollow: left; 0 invariants broken")));
            } finally {
                program.destroyForcibly().waitFor();
            }
        }
    }

    /** Killed between writing the temporary file and renaming it: the leftover is no handover, complete or not. */
    @Test void aHandoverWhoseWriterIsKilledBeforeTheRenameIsNeitherUsedNorWaitedFor() throws Exception {
        ProcessHandover old = new ProcessHandover(folder, 100);
        ProcessHandover next = new ProcessHandover(folder, 200);
        Files.writeString(folder.resolve("kelphollow-alive-100"), "");   // its writer has been killed: no lock is held
        String complete = LimitHandoverFile.text(Map.of("v1", 3.5, "v2", 0.0));
        Files.setLastModifiedTime(folder.resolve("kelphollow-alive-100"),
            FileTime.fromMillis(System.currentTimeMillis() - 5_000));
        for (int bytes = 0; bytes <= complete.length(); bytes++) {
            Files.writeString(folder.resolve("kelphollow-handover.part-100"), complete.substring(0, bytes));
            assertEquals(Optional.empty(), next.await(100, 60_000), bytes + " bytes");
        }
        old.handOver(Map.of("v1", 3.5));                      // overwrites the leftover
        assertEquals(Optional.of(Map.of("v1", 3.5)), next.await(100, 60_000));
    }
}
