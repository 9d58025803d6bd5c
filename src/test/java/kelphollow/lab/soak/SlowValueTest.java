package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
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
    private static final int VALUES_OF_EACH_PACE = 4;
    private static final int LENGTH = 150_000;
    @TempDir
    Path folder;

    /** Requests the value and returns its first line and whether all of its bytes followed, or the error. */
    private static String request(SingleInstance instance, String id, LongValue value) {
        try (RespClient client = new RespClient(instance.address())) {
            client.setReadTimeout(PATIENCE_MS);            // for the first byte
            client.send(RespClient.getValue(id, "dump-read", PATIENCE_MS, 0, value));
            String head = client.line();
            if (!head.equals("$" + LENGTH)) {
                return value.pace() + ": " + head;
            }
            client.setReadTimeout(10_000);                 // bounds a failing test
            return value.pace() + (value.equalsBytes(client.value(LENGTH)) ? ": complete" : ": other bytes");
        } catch (java.io.IOException e) {
            return value.pace() + ": " + e;
        }
    }

    @Test void longValuesThatNodesWriteSlowlyReachTheirClients() throws Exception {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        try (SingleInstance instance = SingleInstance.start(folder, 1, 62)) {
            for (Pace pace : Pace.values()) {
                for (int i = 0; i < VALUES_OF_EACH_PACE; i++) {
                    String id = pace + "-" + i;
                    answers.add(CompletableFuture.supplyAsync(
                        () -> request(instance, id, new LongValue(LENGTH, pace)), clients));
                    expected.add(pace + ": complete");
                }
            }
            List<String> got = answers.stream().map(CompletableFuture::join).toList();
            assertEquals(expected, got);
            assertTrue(instance.history.all(SoakHistory.ValueCut.class).isEmpty(), "no node's value is cut off");
        } finally {
            clients.shutdownNow();
        }
    }
}
