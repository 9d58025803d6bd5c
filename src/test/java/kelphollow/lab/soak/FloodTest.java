package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kelphollow.lab.soak.FloodingClient.Flood;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against clients that send at full speed making the process answer other clients late or never. */
@Timeout(60)
class FloodTest {
    private static final int NODES = 4;
    private static final int FLOODING_CLIENTS = 8;
    private static final int FLOOD_MS = 4_000;
    private static final int MIN_ANSWERED = 100;
    @TempDir
    Path folder;

    private void assertAnswersInTimeDuring(Flood flood) throws Exception {
        List<FloodingClient> flooding = new ArrayList<>();
        try (SingleInstance instance = SingleInstance.start(folder, NODES, 62);
             UsualClients usual = new UsualClients(instance.address(), NODES)) {
            for (int i = 0; i < FLOODING_CLIENTS; i++) {
                flooding.add(new FloodingClient(instance.address(), flood, "flood" + i));
            }
            Thread.sleep(FLOOD_MS);
            for (FloodingClient client : flooding) {
                client.close();
            }
            assertEquals(List.of(), usual.end(), flood + ": usual requests without an answer in time");
            assertTrue(usual.answered() > MIN_ANSWERED, "only " + usual.answered() + " usual requests were answered");
        }
    }

    @Test void pingsAtFullSpeedDelayNoOtherClient() throws Exception {
        assertAnswersInTimeDuring(Flood.PING);
    }

    @Test void unknownCommandsAtFullSpeedDelayNoOtherClient() throws Exception {
        assertAnswersInTimeDuring(Flood.UNKNOWN_COMMANDS);
    }

    @Test void requestsOfEverNewVolumesDelayNoOtherClient() throws Exception {
        assertAnswersInTimeDuring(Flood.NEW_VOLUMES);
    }

    @Test void requestsOfUnknownClassesDelayNoOtherClient() throws Exception {
        assertAnswersInTimeDuring(Flood.NEW_CLASSES);
    }
}
