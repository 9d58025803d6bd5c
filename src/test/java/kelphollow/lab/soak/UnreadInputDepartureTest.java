package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.parallel.ExecutionMode.CONCURRENT;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import kelphollow.lab.soak.DepartingClient.Input;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;

/** Guards against forwarding requests, first or again, whose client has closed its connection behind unread input. */
@Timeout(60)
class UnreadInputDepartureTest {
    private static final int NODES = 4;
    private static final int REQUESTS = 160;
    /** An attempt that begins later than this after the close is a break; the machine's slack is that of the soak. */
    private static final double LATE_AFTER_MS = 100 + 120;
    private static final int SUBMITTED_WITHIN_MS = 100;
    private static final int SENDING_MS = 100;
    private static final int BUSY_MS = 400;
    private static final int WATCHED_MS = 2_500;
    /** The limit in the instance's configuration. */
    private static final long MEMORY_KIB = 192 * 1024;
    private static final int STOPS = 10;
    private static final int STOPPED_MS = 300;
    private static final int CLIENTS_AT_A_STOP = 50;
    @TempDir
    Path folder;

    private static void setMode(SingleInstance instance, SoakNode.Mode mode) {
        for (int i = 0; i < NODES; i++) {
            instance.node(i).setMode(mode);
        }
    }

    /** Clients leave while their requests wait in the queues of nodes that then turn them away. */
    private void assertNothingIsForwardedLate(int clients, Input input, boolean readsReplies) throws Exception {
        List<DepartingClient> departing = new ArrayList<>();
        try (SingleInstance instance = SingleInstance.start(folder, NODES, 73)) {
            setMode(instance, SoakNode.Mode.REJECTS_LATE);
            for (int i = 0; i < clients; i++) {
                DepartingClient client =
                    new DepartingClient(instance.history, 0, instance.address(), "d" + i, readsReplies);
                departing.add(client);
                unlessRefused(() -> client.request(Math.max(1, REQUESTS / clients), NODES));
            }
            Thread.sleep(SUBMITTED_WITHIN_MS);
            AtomicLong bytes = new AtomicLong();
            for (DepartingClient client : departing) {
                unlessRefused(() -> bytes.addAndGet(client.sendFor(Math.max(1, SENDING_MS / clients), input)));
            }
            assertTrue(bytes.get() > 0, "the clients sent nothing behind their requests");
            List<Double> leftAt = new ArrayList<>();
            for (DepartingClient client : departing) {
                leftAt.add(client.leave());
            }
            Thread.sleep(BUSY_MS);
            setMode(instance, SoakNode.Mode.REJECTS);
            Thread.sleep(WATCHED_MS);
            assertTrue(instance.process().peakMemoryKib() < MEMORY_KIB, "peak " + instance.process().peakMemoryKib()
                + " KiB");
            assertEquals(List.of(), late(instance.history, leftAt), "forwarded after their clients had sent " + bytes
                + " bytes and left");
        }
    }

    /** The process closes connections for which it has no room: such a client sends no more. */
    private static void unlessRefused(SoakThreads.Task task) throws Exception {
        try {
            task.run();
        } catch (IOException e) {
            // its connection was closed
        }
    }

    private static List<String> late(SoakHistory history, List<Double> leftAt) {
        List<String> late = new ArrayList<>();
        for (SoakHistory.AttemptArrived attempt : history.all(SoakHistory.AttemptArrived.class)) {
            if (attempt.id().startsWith("d")) {
                int client = Integer.parseInt(attempt.id().substring(1, attempt.id().indexOf('q')));
                double after = attempt.at() - leftAt.get(client);
                if (after > LATE_AFTER_MS) {
                    late.add(attempt.id() + " " + (long) after + " ms after its client left");
                }
            }
        }
        return late;
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceTheirClientLeftBehindPings() throws Exception {
        assertNothingIsForwardedLate(1, Input.PINGS, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceTheirClientLeftBehindUnknownCommands() throws Exception {
        assertNothingIsForwardedLate(1, Input.UNKNOWN_COMMANDS, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceTheirClientLeftBehindUnknownClasses() throws Exception {
        assertNothingIsForwardedLate(1, Input.UNKNOWN_CLASSES, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceTheirClientLeftBehindLongCommands() throws Exception {
        assertNothingIsForwardedLate(1, Input.LONG_COMMANDS, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceTheirClientLeftWithoutReadingReplies() throws Exception {
        assertNothingIsForwardedLate(1, Input.UNKNOWN_CLASSES, false);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceTenClientsLeftBehindPings() throws Exception {
        assertNothingIsForwardedLate(10, Input.PINGS, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceAHundredClientsLeftBehindUnknownClasses() throws Exception {
        assertNothingIsForwardedLate(100, Input.UNKNOWN_CLASSES, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedOnceAThousandClientsLeftBehindUnknownClasses()
        throws Exception {
        assertNothingIsForwardedLate(1_000, Input.UNKNOWN_CLASSES, true);
    }

    @Test @Execution(CONCURRENT) void requestsAreNotForwardedByALateLoopOnceTheirClientsLeft() throws Exception {
        try (SingleInstance instance = SingleInstance.start(folder, NODES, 73)) {
            setMode(instance, SoakNode.Mode.REJECTS);
            List<Double> leftAt = new ArrayList<>();
            for (int stop = 0; stop < STOPS; stop++) {
                List<DepartingClient> departing = new ArrayList<>();
                for (int i = 0; i < CLIENTS_AT_A_STOP; i++) {
                    String name = "d" + (stop * CLIENTS_AT_A_STOP + i);
                    departing.add(new DepartingClient(instance.history, 0, instance.address(), name, true));
                    departing.get(i).request(1, NODES);
                }
                instance.process().signal("STOP");
                for (DepartingClient client : departing) {
                    leftAt.add(client.leave());
                }
                Thread.sleep(STOPPED_MS);
                instance.process().signal("CONT");
                Thread.sleep(STOPPED_MS);
            }
            assertEquals(List.of(), late(instance.history, leftAt), instance.process().logged());
        }
    }
}
