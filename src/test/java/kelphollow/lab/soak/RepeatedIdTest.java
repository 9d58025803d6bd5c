package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.parallel.ExecutionMode.CONCURRENT;

import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;

/** Guards against a write running twice, because its id came again after its client had left. */
@Timeout(60)
class RepeatedIdTest {
    private static final String ID = "write-1";
    private static final int PATIENCE_MS = 3_000;
    private static final int POLL_MS = 5;
    private static final int SENDING_MS = 50;
    @TempDir
    Path folder;
    private SingleInstance instance;

    @BeforeEach void start() throws Exception {
        instance = SingleInstance.startUpgradable(folder, 1, 62);
        instance.node(0).setMode(SoakNode.Mode.HANGS);     // so that it holds the write while its client leaves
    }

    @AfterEach void close() throws Exception {
        instance.close();
    }

    private static String write() {
        return RespClient.get(ID, "dump-write", PATIENCE_MS, 0);
    }

    private long arrivals() {
        return instance.history.all(SoakHistory.AttemptArrived.class).stream().filter(a -> a.id().equals(ID)).count();
    }

    /** Sends the write, and once it has come to its node leaves behind input that is not read. */
    private void sendAndLeaveBehindUnreadInput() throws Exception {
        try (DepartingClient client = new DepartingClient(instance.history, 0, instance.address(), "left", true)) {
            client.send(write());
            while (arrivals() == 0) {
                Thread.sleep(POLL_MS);
            }
            client.sendFor(SENDING_MS, DepartingClient.Input.UNKNOWN_COMMANDS);
            client.leave();
        }
    }

    /** Sends the write and leaves once it has come to its node. */
    private void sendAndLeave() throws Exception {
        try (RespClient client = new RespClient(instance.address())) {
            client.send(write());
            while (arrivals() == 0) {
                Thread.sleep(POLL_MS);
            }
        }
    }

    private void assertRunsOnceWhenSentAgain() throws Exception {
        try (RespClient client = new RespClient(instance.address())) {
            client.send(write());
            String answer = client.answer();
            assertTrue(answer.startsWith("-ERR"), "it may have run, so it has failed: " + answer);
        }
        assertEquals(1, arrivals(), "arrivals at the node");
    }

    @Test @Execution(CONCURRENT) void aWriteIsNotForwardedAgainAfterItsClientLeft() throws Exception {
        sendAndLeave();
        assertRunsOnceWhenSentAgain();
    }

    @Test @Execution(CONCURRENT) void aWriteIsNotForwardedAgainByTheNextProcessOfAnUpgrade() throws Exception {
        sendAndLeave();
        instance.upgrade();
        assertRunsOnceWhenSentAgain();
    }

    @Test @Execution(CONCURRENT) void aWriteIsNotForwardedAgainAfterItsClientLeftBehindUnreadInput() throws Exception {
        sendAndLeaveBehindUnreadInput();
        assertRunsOnceWhenSentAgain();
    }

    @Test @Execution(CONCURRENT) void aWriteIsNotForwardedAgainByTheNextProcessAfterItsClientLeftBehindUnreadInput()
        throws Exception {
        sendAndLeaveBehindUnreadInput();
        instance.upgrade();
        assertRunsOnceWhenSentAgain();
    }

    @Test @Execution(CONCURRENT) void aWriteIsNotForwardedAgainByTheNextProcessWhileTheOtherStillServes() throws Exception {
        instance.startSuccessor();
        sendAndLeaveBehindUnreadInput();
        instance.process().terminatePredecessor();
        assertRunsOnceWhenSentAgain();
    }
}
