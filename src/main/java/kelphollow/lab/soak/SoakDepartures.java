package kelphollow.lab.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import kelphollow.lab.soak.DepartingClient.Input;

/**
 * Groups of clients, drawn by seed, that send requests and further input on one connection each and leave while much of it
 * is unread. Some send requests that must run only once again under the same ids. Confined to one thread, which starts one
 * for each client of a group.
 */
final class SoakDepartures {
    private static final int MAX_PAUSE_MS = 1_200;
    private static final int MAX_CLIENTS = 5;
    private static final int MAX_REQUESTS = 40;
    private static final int MAX_WAIT_MS = 120;
    private static final int MAX_SENDING_MS = 150;
    private static final double MUST_RUN_ONCE_SHARE = 0.4;
    private static final double WITHOUT_INPUT_SHARE = 0.2;
    private static final double READS_REPLIES_SHARE = 0.6;
    private static final double SENT_AGAIN_SHARE = 0.6;

    private final SoakHistory history;
    private final List<ServeProcess> instances;
    private final int cells;
    private final Random random;

    SoakDepartures(SoakHistory history, List<ServeProcess> instances, int cells, Random random) {
        this.history = history;
        this.instances = instances;
        this.cells = cells;
        this.random = random;
    }

    /** Starts groups until told to end; blocks until the last one has left. */
    void run(BooleanSupplier ended) throws InterruptedException {
        for (int group = 0; !ended.getAsBoolean(); group++) {
            Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            int instance = random.nextInt(instances.size());
            List<Thread> clients = new ArrayList<>();
            for (int i = 1 + random.nextInt(MAX_CLIENTS); i > 0; i--) {
                String name = "left" + group + "c" + i;
                Random ofClient = new Random(random.nextLong());
                clients.add(SoakThreads.start(name, () -> visit(instance, name, ofClient)));
            }
            for (Thread client : clients) {
                client.join();
            }
        }
    }

    private void visit(int instance, String name, Random draw) throws IOException, InterruptedException {
        boolean mustRunOnce = draw.nextDouble() < MUST_RUN_ONCE_SHARE;
        boolean readsReplies = draw.nextDouble() < READS_REPLIES_SHARE;
        DepartingClient client =
            new DepartingClient(history, instance, instances.get(instance).address(), name, readsReplies);
        try {
            client.request(1 + draw.nextInt(MAX_REQUESTS), cells, mustRunOnce);
            Thread.sleep(draw.nextInt(MAX_WAIT_MS));
            if (draw.nextDouble() >= WITHOUT_INPUT_SHARE) {
                client.sendFor(draw.nextInt(MAX_SENDING_MS), Input.values()[draw.nextInt(Input.values().length)]);
            }
        } finally {
            client.leave();                // the process may have ended the connection
        }
        if (mustRunOnce && draw.nextDouble() < SENT_AGAIN_SHARE) {
            client.sendAgain(instances.get(instance).address(), draw.nextInt(MAX_WAIT_MS));
        }
    }
}
