package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import kelphollow.lab.soak.LongValue.Pace;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against long values being cut off while their node writes them slowly. */
@Timeout(60)
class SlowValueTest {
    private static final int PATIENCE_MS = 1_200;
    private static final int NODES = 4;
    private static final int GUARD_TIMEOUT_MS = 10_000;   // bounds a failing test
    private static final int LENGTH = 150_000;
    @TempDir
    Path folder;

    /** Requests the value of a node and returns whether it came as a whole, its first byte in time, or else what came. */
    private static String request(SingleInstance instance, int cell, LongValue value) {
        try (RespClient client = new RespClient(instance.address())) {
            client.setReadTimeout(PATIENCE_MS);            // for the first byte
            client.send(RespClient.getValue(value.pace() + "-" + cell, "dump-read", PATIENCE_MS, cell, value));
            String head = client.line();
            if (!head.equals("$" + LENGTH)) {
                return head;
            }
            client.setReadTimeout(GUARD_TIMEOUT_MS);
            return value.equalsBytes(client.value(LENGTH)) ? "complete" : "other bytes";
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Requests values of this pace, one of each node at the same time, and returns what their clients got. */
    private static List<String> requestFromAllNodes(SingleInstance instance, Pace pace, ExecutorService clients) {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int cell = 0; cell < NODES; cell++) {
            int from = cell;
            answers.add(CompletableFuture.supplyAsync(() -> request(instance, from, new LongValue(LENGTH, pace)), clients));
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    @Test void longValuesThatNodesWriteSlowlyReachTheirClients() throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try (SingleInstance instance = SingleInstance.start(folder, NODES, 62)) {
            for (Pace pace : Pace.values()) {
                assertEquals(Collections.nCopies(NODES, "complete"), requestFromAllNodes(instance, pace, clients),
                    pace.toString());
            }
            assertEquals(List.of(), instance.history.all(SoakHistory.ValueCut.class), "values that were cut off");
        } finally {
            clients.shutdownNow();
        }
    }
}
