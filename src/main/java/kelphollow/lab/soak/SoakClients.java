package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import kelphollow.lab.soak.SoakHistory.Asked;
import kelphollow.lab.soak.SoakHistory.End;
import kelphollow.lab.soak.SoakHistory.Ended;

/**
 * Clients of one run, some for each instance, each on one connection at a time. They ask for what lies on all nodes, rest
 * for random times, write some requests in pieces and leave some before the answer. A request whose connection ends unread
 * is sent once more on a new one, as the platform's clients do.
 */
final class SoakClients implements AutoCloseable {
    /** The classes of the example's settings: name, longest wait in milliseconds, and whether it may run only once. */
    private record Kind(String name, int patience, boolean unsafe) {}

    private static final List<Kind> KINDS = List.of(new Kind("dump-read", 1_200, false), new Kind("dump-write", 3_000, true),
        new Kind("dump-export", 5_000, false));
    private static final int LONGEST_REST = 120;
    private static final int LONG_REST = 2_500;
    private static final double LEAVES = 0.04;
    private static final double IN_PIECES = 0.1;
    private static final double RESTS_LONG = 0.02;
    private static final double NEW_CONNECTION = 0.05;
    /** How much longer than its time a client waits before it counts an answer as missing, in milliseconds. */
    private static final int PATIENCE = 2_000;

    private final SoakHistory history;
    private final int shards;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ending;

    SoakClients(SoakHistory history, int shards) {
        this.history = history;
        this.shards = shards;
    }

    /** Starts so many clients of an instance. */
    void start(int instance, InetSocketAddress address, int count, long seed) {
        for (int i = 0; i < count; i++) {
            String name = "i" + instance + "c" + i;
            Random random = new Random(seed * 31 + i);
            threads.add(SoakThreads.start(name, () -> new Client(name, instance, address, random).run()));
        }
    }

    /** Lets each client finish what it waits for. */
    @Override public void close() throws InterruptedException {
        ending = true;
        for (Thread thread : threads) {
            thread.join(KINDS.get(KINDS.size() - 1).patience() + 2 * PATIENCE);
        }
    }

    /** One client. */
    private final class Client {
        private final String name;
        private final int instance;
        private final InetSocketAddress address;
        private final Random random;
        private RespClient connection;
        private int asked;

        Client(String name, int instance, InetSocketAddress address, Random random) {
            this.name = name;
            this.instance = instance;
            this.address = address;
            this.random = random;
        }

        void run() throws Exception {
            while (!ending) {
                Thread.sleep(random.nextDouble() < RESTS_LONG ? random.nextInt(LONG_REST) : random.nextInt(LONGEST_REST));
                if (connection == null || random.nextDouble() < NEW_CONNECTION) {
                    drop();
                    if (!connect()) {
                        continue;
                    }
                }
                ask(KINDS.get(random.nextInt(KINDS.size())));
            }
            drop();
        }

        private boolean connect() {
            try {
                connection = new RespClient(address);
                return true;
            } catch (IOException e) {
                return false;              // its process is away
            }
        }

        private void drop() throws IOException {
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }

        private void ask(Kind kind) throws Exception {
            String id = name + "q" + asked++;
            String request = RespClient.get(id, kind.name(), kind.patience(), random.nextInt(shards));
            for (int tries = 0; tries < 2; tries++) {
                End end = askOnce(id, kind, request, tries == 0);
                if (end != End.CONNECTION_ENDED) {
                    history.add(new Ended(history.now(), id, end));
                    return;
                }
                drop();
                if (tries > 0 || !connect()) {
                    history.add(new Ended(history.now(), id, end));
                    return;
                }
            }
        }

        private End askOnce(String id, Kind kind, String request, boolean first) throws Exception {
            try {
                if (random.nextDouble() < IN_PIECES) {
                    int half = random.nextInt(request.length());
                    connection.send(request.substring(0, half));
                    Thread.sleep(random.nextInt(LONGEST_REST));
                    connection.send(request.substring(half, request.length() - 1));
                    connection.send(request.substring(request.length() - 1));
                } else {
                    connection.send(request);
                }
                if (first) {
                    history.add(new Asked(history.now(), id, instance, kind.unsafe(), kind.patience()));
                }
                if (random.nextDouble() < LEAVES) {
                    Thread.sleep(random.nextInt(kind.patience() / 4));
                    drop();
                    return End.CLIENT_LEFT;
                }
                connection.waitAtMost(kind.patience() + PATIENCE);
                String answer = connection.answer();
                return answer.equals("ok") ? End.SERVED : answer.startsWith("-BUSY") ? End.REFUSED : End.FAILED;
            } catch (SocketTimeoutException e) {
                drop();
                return End.NO_ANSWER;
            } catch (IOException e) {
                return End.CONNECTION_ENDED;
            }
        }
    }
}
