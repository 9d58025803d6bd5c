package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import kelphollow.lab.soak.RespClient.VolumeUse;
import kelphollow.lab.soak.SoakHistory.Outcome;
import kelphollow.lab.soak.SoakHistory.RequestEnded;
import kelphollow.lab.soak.SoakHistory.RequestSent;

/**
 * Clients of one run, several per instance, each with one connection at a time. They request objects of all nodes, pause for
 * random times, write some requests in segments and abandon some before the answer. A request whose connection ends without
 * an answer is sent once more on a new one, as the platform's clients do.
 */
final class SoakClients implements AutoCloseable {
    /** A request class of the settings: name, client timeout in milliseconds, and whether it must run only once. */
    private record RequestClass(String name, int patience, boolean mustRunOnce) {}

    private static final List<RequestClass> CLASSES = List.of(new RequestClass("dump-read", 1_200, false),
        new RequestClass("dump-write", 3_000, true), new RequestClass("dump-export", 5_000, false));
    private static final int MAX_PAUSE_MS = 120;
    private static final int MAX_LONG_PAUSE_MS = 2_500;
    private static final double LEAVE_SHARE = 0.04;
    private static final double SEGMENTED_SHARE = 0.1;
    private static final double LONG_PAUSE_SHARE = 0.02;
    private static final double RECONNECT_SHARE = 0.05;
    /** Time that a client waits beyond its timeout before it counts an answer as missing. */
    private static final int EXTRA_WAIT_MS = 2_000;

    /** A node or the program may stand still in the middle of a value for 10 s. */
    private static final int VALUE_STALL_MS = 12_000;
    private static final double LIMITED_SHARE = 0.5;
    private static final int LIMITED_UNITS = 3;

    private final SoakHistory history;
    private final int cells;
    /** Instances that volumes with a limit share, or 0 without such volumes. */
    private final int limitedBy;
    private final double longValueShare;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closing;

    /** {@code limitedBy}: instances that share volumes with a limit, to which half of the requests go then; 0 for none. */
    SoakClients(SoakHistory history, int cells, int limitedBy) {
        this(history, cells, limitedBy, 0);
    }

    /** {@code longValueShare}: the share of long values among the reads. */
    SoakClients(SoakHistory history, int cells, int limitedBy, double longValueShare) {
        this.longValueShare = longValueShare;
        this.history = history;
        this.cells = cells;
        this.limitedBy = limitedBy;
    }

    /** Starts this many clients of an instance. */
    void start(int instance, InetSocketAddress address, int count, long seed) {
        for (int i = 0; i < count; i++) {
            String name = "i" + instance + "c" + i;
            Random random = new Random(seed * 31 + i);
            threads.add(SoakThreads.start(name, () -> new Client(name, instance, address, random).run()));
        }
    }

    /** Waits until each client has finished its current request. */
    @Override public void close() throws InterruptedException {
        closing = true;
        for (Thread thread : threads) {
            thread.join(CLASSES.get(CLASSES.size() - 1).patience() + 2 * EXTRA_WAIT_MS);
        }
    }

    /** One client with its own thread and connection. */
    private final class Client {
        private final String name;
        private final int instance;
        private final InetSocketAddress address;
        private final Random random;
        private RespClient connection;
        private int sent;
        /** The request that was written completely last, on whichever connection. */
        private String recordedId;

        Client(String name, int instance, InetSocketAddress address, Random random) {
            this.name = name;
            this.instance = instance;
            this.address = address;
            this.random = random;
        }

        void run() throws Exception {
            while (!closing) {
                int maxPause = random.nextDouble() < LONG_PAUSE_SHARE ? MAX_LONG_PAUSE_MS : MAX_PAUSE_MS;
                Thread.sleep(random.nextInt(maxPause));
                if (connection == null || random.nextDouble() < RECONNECT_SHARE) {
                    disconnect();
                    if (!connect()) {
                        continue;
                    }
                }
                request(CLASSES.get(random.nextInt(CLASSES.size())));
            }
            disconnect();
        }

        private boolean connect() {
            try {
                connection = new RespClient(address);
                return true;
            } catch (IOException e) {
                return false;              // the process is down
            }
        }

        private void disconnect() throws IOException {
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }

        private void request(RequestClass requestClass) throws Exception {
            String id = name + "q" + sent++;
            VolumeUse use = drawVolume();
            int cell = random.nextInt(cells);
            if (!requestClass.mustRunOnce() && longValueShare > 0 && random.nextDouble() < longValueShare) {
                requestValue(id, requestClass, cell);
                return;
            }
            String command = use == null ? RespClient.get(id, requestClass.name(), requestClass.patience(), cell)
                : RespClient.get(id, requestClass.name(), requestClass.patience(), cell, use);
            for (int attempt = 0; attempt < 2; attempt++) {
                Outcome outcome = requestOnce(id, requestClass, command, use);
                if (outcome != Outcome.CONNECTION_ENDED) {
                    history.add(new RequestEnded(history.now(), id, outcome));
                    return;
                }
                disconnect();
                if (attempt > 0 || closing || !connect()) {
                    history.add(new RequestEnded(history.now(), id, outcome));
                    return;
                }
            }
        }

        /** Requests a long value, whose first byte must be in time. */
        private void requestValue(String id, RequestClass requestClass, int cell) throws Exception {
            LongValue value = LongValue.draw(random);
            Outcome outcome = Outcome.CONNECTION_ENDED;
            double endedAt = history.now();
            try {
                connection.setReadTimeout(requestClass.patience() + EXTRA_WAIT_MS);
                connection.send(RespClient.getValue(id, requestClass.name(), requestClass.patience(), cell, value));
                history.add(new RequestSent(history.now(), id, instance, false, requestClass.patience()));
                String head = connection.line();
                endedAt = history.now();
                outcome = head.equals("$" + value.length()) ? Outcome.TRUNCATED
                    : head.startsWith("-BUSY") ? Outcome.REJECTED : Outcome.FAILED;
                if (outcome == Outcome.TRUNCATED) {
                    connection.setReadTimeout(VALUE_STALL_MS);
                    outcome = value.equalsBytes(connection.value(value.length())) ? Outcome.SERVED : outcome;
                }
            } catch (SocketTimeoutException e) {
                outcome = outcome == Outcome.TRUNCATED ? outcome : Outcome.NO_ANSWER;
                disconnect();
            } catch (IOException e) {
                disconnect();
            }
            history.add(new RequestEnded(endedAt, id, outcome));
        }

        /** Draws a volume with a limit, of this instance alone or of all, or null for one without. */
        private VolumeUse drawVolume() {
            if (limitedBy == 0 || random.nextDouble() >= LIMITED_SHARE) {
                return null;
            }
            return random.nextBoolean()
                ? new VolumeUse(ServeProcess.LIMITED_PLAN, "limited" + instance, LIMITED_UNITS, 1)
                : new VolumeUse(ServeProcess.LIMITED_PLAN, "limited", LIMITED_UNITS, limitedBy);
        }

        private Outcome requestOnce(String id, RequestClass requestClass, String command, VolumeUse use)
            throws Exception {
            try {
                if (random.nextDouble() < SEGMENTED_SHARE) {
                    int half = random.nextInt(command.length());
                    connection.send(command.substring(0, half));
                    Thread.sleep(random.nextInt(MAX_PAUSE_MS));
                    connection.send(command.substring(half, command.length() - 1));
                    connection.send(command.substring(command.length() - 1));
                } else {
                    connection.send(command);
                }
                if (!id.equals(recordedId)) {
                    recordedId = id;
                    history.add(new RequestSent(history.now(), id, instance, requestClass.mustRunOnce(),
                        requestClass.patience(), use == null ? null : use.volume(), use == null ? 0 : use.units()));
                }
                if (random.nextDouble() < LEAVE_SHARE) {
                    Thread.sleep(random.nextInt(requestClass.patience() / 4));
                    disconnect();
                    return Outcome.CLIENT_LEFT;
                }
                connection.setReadTimeout(requestClass.patience() + EXTRA_WAIT_MS);
                String answer = connection.answer();
                if (answer.equals("ok")) {
                    return Outcome.SERVED;
                }
                return answer.startsWith("-BUSY") ? Outcome.REJECTED : Outcome.FAILED;
            } catch (SocketTimeoutException e) {
                disconnect();
                return Outcome.NO_ANSWER;
            } catch (IOException e) {
                return Outcome.CONNECTION_ENDED;
            }
        }
    }
}
