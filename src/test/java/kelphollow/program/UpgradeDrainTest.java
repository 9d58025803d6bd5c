package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import kelphollow.lab.soak.InheritedSocket;
import kelphollow.lab.soak.RespClient;
import kelphollow.lab.soak.ServeProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests to a draining node because only one process of an upgrade was notified of the drain. One discovery
 * service answers both processes, until it writes the drain to one of them; then it is silent or down.
 */
@Timeout(120)
class UpgradeDrainTest {
    private static final int READ = 1_200;
    /** What discovery writes to either process binds both this long after the new process is ready, and the grace. */
    private static final int BINDING_MS = 2_300;
    private static final int POLL_MS = 20;
    private static final int RESPONSE_DELAY_MS = 100;
    @TempDir
    Path folder;
    private ScriptedPeer discovery;
    private ScriptedPeer draining;
    private ScriptedPeer other;
    private ServeProcess program;
    private volatile Behaviour behaviour = Behaviour.NOTHING_CHANGED;
    private final AtomicBoolean drainWritten = new AtomicBoolean();

    /** How discovery answers calls. */
    private enum Behaviour {
        /** At version 1. */
        NOTHING_CHANGED,
        /** The first call that begins a watch gets the drain; all others get no answer. */
        WRITES_DRAIN_TO_NEW_WATCH,
        /** The next call that continues a watch gets the drain; all others are reset. */
        WRITES_DRAIN_TO_OPEN_WATCH
    }

    @BeforeEach void start() throws Exception {
        discovery = new ScriptedPeer();
        draining = new ScriptedPeer();
        other = new ScriptedPeer();
        program = new ServeProcess(folder, 0, ServeProcess.settings(1, false), new InheritedSocket());
        startThread(this::acceptCalls);
        program.configure(discovery.address(), list(1, true, List.of(row("a", draining, 0, "ready"), row("b", other, 1,
            "ready"))), 1);
        program.start();
        program.awaitReady();
    }

    @AfterEach void close() throws Exception {
        program.close();
        discovery.close();
        draining.close();
        other.close();
    }

    private static String row(String host, ScriptedPeer at, int block, String health) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + at.address().getPort() + "\",\"site\":\"a\",\"block\":"
            + block + ",\"health\":\"" + health + "\",\"born_ms\":0}";
    }

    private static String list(long version, boolean complete, List<String> rows) {
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":[" + String.join(",", rows) + "]}";
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptCalls() {
        try {
            while (true) {
                ScriptedPeer.Connection caller = discovery.accept();
                startThread(() -> answerCalls(caller));
            }
        } catch (IOException e) {
            // the test has ended
        }
    }

    private void answerCalls(ScriptedPeer.Connection caller) {
        try {
            for (String call; (call = caller.until("\r\n\r\n")).endsWith("\r\n\r\n");) {
                boolean beginsWatch = call.contains("&wait=1 ");
                boolean writesDrain = beginsWatch == (behaviour == Behaviour.WRITES_DRAIN_TO_NEW_WATCH);
                if (behaviour == Behaviour.NOTHING_CHANGED) {
                    respond(caller, list(1, false, List.of()));
                } else if (writesDrain && drainWritten.compareAndSet(false, true)) {
                    respond(caller, list(2, false, List.of(row("a", draining, 0, "draining"))));
                } else if (behaviour == Behaviour.WRITES_DRAIN_TO_OPEN_WATCH) {
                    caller.reset();
                }
            }
        } catch (IOException e) {
            // the process has closed the connection
        }
    }

    private static void respond(ScriptedPeer.Connection caller, String list) throws IOException {
        try {
            Thread.sleep(RESPONSE_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        caller.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    private void startSuccessor() throws Exception {
        program.configure(discovery.address(), list(1, true, List.of(row("a", draining, 0, "ready"), row("b", other, 1,
            "ready"))), 2);
        program.startSuccessor();
        while (!program.reportsReady()) {
            Thread.sleep(POLL_MS);
        }
    }

    private void assertDrainIsKept() throws Exception {
        try (RespClient client = new RespClient(program.address())) {
            client.send(RespClient.get("q1", "dump-read", READ, 0));
            assertTrue(client.line().startsWith("-"), "the node drains");
            assertNull(draining.acceptIfAny(), "no connection to the draining node");
        }
    }

    @Test void aDrainWrittenToTheNewProcessBindsTheOldOne() throws Exception {
        behaviour = Behaviour.WRITES_DRAIN_TO_NEW_WATCH;
        startSuccessor();
        Thread.sleep(BINDING_MS);

        assertDrainIsKept();
    }

    @Test void aDrainWrittenToTheOldProcessBindsTheNewOne() throws Exception {
        behaviour = Behaviour.WRITES_DRAIN_TO_OPEN_WATCH;
        while (!drainWritten.get()) {
            Thread.sleep(POLL_MS);
        }
        startSuccessor();
        program.terminatePredecessor();
        while (!program.hasPredecessorExited()) {
            Thread.sleep(POLL_MS);
        }
        Thread.sleep(BINDING_MS);

        assertDrainIsKept();
    }
}
