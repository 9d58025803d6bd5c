package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against forwarding the requests of a client that closed its connection while much of it was unread. */
@Timeout(60)
class DepartedClientTest {
    private static final int NODES = 4;
    private static final int REQUESTS = 20_000;
    private static final int PATIENCE_MS = 5_000;
    /** An attempt that begins later than this after the close is a break; the machine's slack is that of the soak. */
    private static final double LATE_AFTER_MS = 100 + 120;
    private static final int STOPPED_MS = 400;
    private static final int WATCHED_MS = 3_000;
    @TempDir
    Path folder;

    @Test void requestsLeftUnreadByADepartedClientAreNotForwarded() throws Exception {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            requests.append(RespClient.get("left-" + i, "dump-export", PATIENCE_MS, i % NODES));
        }
        byte[] bytes = requests.toString().getBytes(StandardCharsets.US_ASCII);
        try (SingleInstance instance = SingleInstance.start(folder, NODES, 62)) {
            instance.process().signal("STOP");             // so that all of it is unread when the client closes
            double leftAt;
            try (Socket client = new Socket(instance.address().getAddress(), instance.address().getPort())) {
                client.setSendBufferSize(bytes.length);
                client.getOutputStream().write(bytes);
                leftAt = instance.history.now();
            }
            Thread.sleep(STOPPED_MS);
            instance.process().signal("CONT");
            Thread.sleep(WATCHED_MS);
            List<String> late = instance.history.all(SoakHistory.AttemptArrived.class).stream()
                .filter(a -> a.id().startsWith("left-") && a.at() > leftAt + LATE_AFTER_MS)
                .map(a -> a.id() + " " + (long) (a.at() - leftAt) + " ms after its client left").toList();
            assertEquals(List.of(), late);
        }
    }
}
