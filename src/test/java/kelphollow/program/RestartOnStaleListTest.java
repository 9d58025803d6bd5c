package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import kelphollow.lab.soak.RespClient;
import kelphollow.lab.soak.ServeProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A killed and restarted process has only the list of its file, which may be arbitrarily old, while changes since then may
 * already count as notified. Guards against requests to removed nodes because a restarted process accepts clients before
 * discovery has responded.
 */
@Timeout(120)
class RestartOnStaleListTest {
    /** Enough instances to spread the first discovery poll over a long time. */
    private static final int INSTANCES = 100;
    /** A seed with which the first poll comes late in that time. */
    private static final long LATE_SEED = 7;
    @TempDir
    Path folder;

    private static String row(String host, ScriptedPeer at, int block, String health) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + at.address().getPort() + "\",\"site\":\"a\",\"block\":"
            + block + ",\"health\":\"" + health + "\",\"born_ms\":0}";
    }

    private static String list(long version, boolean complete, List<String> rows) {
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":[" + String.join(",", rows) + "]}";
    }

    private static void start(ServeProcess program) throws Exception {
        program.start();
        program.awaitReady();
    }

    private static String response(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    @Test void aRestartedProcessSendsNothingBeforeDiscoveryHasResponded() throws Exception {
        try (ScriptedPeer before = new ScriptedPeer(); ScriptedPeer discovery = new ScriptedPeer();
             ScriptedPeer node = new ScriptedPeer(); ScriptedPeer other = new ScriptedPeer();
             ServeProcess program = new ServeProcess(folder, 0, ServeProcess.settings(INSTANCES, false))) {
            List<String> rows = List.of(row("a", node, 0, "ready"), row("b", other, 1, "ready"));
            program.configure(before.address(), list(1, true, rows), LATE_SEED);
            start(program);

            program.kill();                // node a is removed from the list while the process is down
            program.configure(discovery.address(), list(1, true, rows), LATE_SEED);
            start(program);
            try (RespClient client = new RespClient(program.address())) {
                client.send(RespClient.get("q1", "dump-read", 1_200, 0));
                assertTrue(client.line().startsWith("-"), "no node may be used yet");
                assertNull(node.acceptIfAny(), "no connection to a node of unknown state");

                ScriptedPeer.Connection poll = discovery.accept();
                poll.until("\r\n\r\n");
                poll.send(response(list(2, false, List.of(row("a", node, 0, "gone")))));

                client.send(RespClient.get("q2", "dump-read", 1_200, 1));
                ScriptedPeer.Connection attempt = other.accept();
                attempt.until("hosts=1\r\n");
                attempt.send("*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
                assertEquals("ok", client.answer());

                client.send(RespClient.get("q3", "dump-read", 1_200, 0));
                assertTrue(client.line().startsWith("-"), "the node has been removed");
                assertNull(node.acceptIfAny());
            }
        }
    }

    /** Guards against a SIGHUP that kills the process because it arrives before the client socket is open. */
    @Test void aReloadDuringStartupIsApplied() throws Exception {
        try (ScriptedPeer before = new ScriptedPeer(); ScriptedPeer after = new ScriptedPeer();
             ServeProcess program = new ServeProcess(folder, 0, ServeProcess.settings(1, true))) {
            program.configure(before.address(), list(1, true, List.of()), 1);
            program.start();
            before.accept();               // polled before the warm-up, long before the client socket is open

            program.configure(after.address(), list(1, true, List.of()), 1);
            program.signal("HUP");
            program.awaitReady();

            assertEquals("GET /catalog/members HTTP/1.1\r\n", after.accept().until("\r\n"));
        }
    }
}
