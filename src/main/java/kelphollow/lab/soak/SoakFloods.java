package kelphollow.lab.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import kelphollow.lab.soak.FloodingClient.Flood;

/**
 * Floods one instance after the other, drawn by seed, with commands that are not forwarded. Confined to one thread.
 */
final class SoakFloods {
    private static final List<Flood> FLOODS = List.of(Flood.PING, Flood.UNKNOWN_COMMANDS, Flood.NEW_CLASSES);
    private static final int CLIENTS = 6;
    private static final int MIN_MS = 500;
    private static final int SPREAD_MS = 2_000;

    private final List<ServeProcess> instances;
    private final Random random;

    SoakFloods(List<ServeProcess> instances, Random random) {
        this.instances = instances;
        this.random = random;
    }

    /** Floods until told to end; blocks. */
    void run(BooleanSupplier ended) throws InterruptedException, IOException {
        for (int number = 0; !ended.getAsBoolean(); number++) {
            Thread.sleep(MIN_MS + random.nextInt(SPREAD_MS));
            ServeProcess target = instances.get(random.nextInt(instances.size()));
            flood(target, FLOODS.get(random.nextInt(FLOODS.size())), "flood" + number);
        }
    }

    private void flood(ServeProcess target, Flood flood, String name) throws InterruptedException, IOException {
        List<FloodingClient> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new FloodingClient(target.address(), flood, name + "c" + i));
            }
        } catch (IOException e) {
            // the process is down
        }
        Thread.sleep(MIN_MS + random.nextInt(SPREAD_MS));
        for (FloodingClient client : clients) {
            client.close();
        }
    }
}
