package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Clients that send a read every few milliseconds, each on one connection, while others disturb the process. */
final class UsualClients implements AutoCloseable {
    private static final int CLIENTS = 8;
    private static final int PAUSE_MS = 40;
    private static final int PATIENCE_MS = 1_200;
    /** An answer later than this after the client's time is lost; a machine that is busy gets as much again as the soak. */
    private static final int LOST_AFTER_MS = 500 + 120;

    private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closing;
    private volatile long answered;

    UsualClients(InetSocketAddress to, int cells) {
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            threads.add(SoakThreads.start("usual " + i, () -> run(to, client, cells)));
        }
    }

    private void run(InetSocketAddress to, int client, int cells) throws IOException, InterruptedException {
        RespClient connection = new RespClient(to);
        for (int sent = 0; !closing; sent++) {
            Thread.sleep(PAUSE_MS);
            String id = "usual-" + client + "-" + sent;
            long sentAt = System.nanoTime();
            try {
                connection.setReadTimeout(PATIENCE_MS + LOST_AFTER_MS);
                connection.send(RespClient.get(id, "dump-read", PATIENCE_MS, client % cells));
                connection.answer();
                answered++;
            } catch (IOException e) {
                faults.add(id + " after " + (System.nanoTime() - sentAt) / 1_000_000 + " ms: " + e);
                connection.close();
                connection = new RespClient(to);
            }
        }
        connection.close();
    }

    /** How many requests had an answer in time. */
    long answered() {
        return answered;
    }

    /** Ends the clients and returns the requests that had no answer in time, with what their clients saw instead. */
    List<String> end() throws InterruptedException {
        close();
        return faults;
    }

    @Override public void close() throws InterruptedException {
        closing = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
