package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients of one scheduler, while bad clients each send a part of one command and stay. Breaks if a usual client's
 * request has no final answer half a second after its time. Arguments: project root, folder of the case, 1 or 0 for the
 * disruption.
 */
final class HalfCommands {
    private static final int NODES = 10;
    private static final int SLOTS = 4;
    private static final int SERVICE_MS = 40;
    private static final int USUAL = 20;
    private static final int USUAL_PAUSE_MS = 100;
    private static final int BAD = 250;
    private static final int CALM_MS = 3_000;
    private static final int TROUBLE_MS = 15_000;
    /** Every time limit is longer by 50 ms; up to half a second after its time a request only earns nothing. */
    private static final double SLACK_MS = 50 + 500;

    private final Record record;
    private final Pauses pauses = new Pauses();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger badAnswered = new AtomicInteger();
    private volatile double longestPing;

    private HalfCommands(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            try {
                code = new HalfCommands(record).run(root, !arguments[2].equals("0"));
            } catch (Exception e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    private int run(Path root, boolean trouble) throws Exception {
        try (Temporary temporary = new Temporary(); Program scheduler = new Program("n0", temporary.path(), record);
             Discovery discovery = new Discovery(record)) {
            Path folder = temporary.path();
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                Node node = new Node("s-" + i, SLOTS, SERVICE_MS, record);
                entries.add(Discovery.entry(node.name(), node.port(), i, "ready", 0));
            }
            discovery.list(entries);
            int port = Program.freePort();
            Path config = folder.resolve("n0.json");
            Files.writeString(config, Settings.platformFile("n0", port, discovery.port(), discovery.known(),
                Settings.platform(1)));
            scheduler.start(root, "", Map.of("GW_CONFIG", config.toString()));
            scheduler.awaitPort(port, 20_000);
            Thread.sleep(1_000);
            List<Thread> usual = new ArrayList<>();
            for (int i = 0; i < USUAL; i++) {
                int number = i;
                usual.add(Threads.start("usual " + i, () -> usual(port, number)));
            }
            Threads.start("ping", () -> ping(port));
            Thread.sleep(CALM_MS);
            record.say("calm: served %d, refused %d, failed %d, lost %d", served.get(), refused.get(), failed.get(), lost.get());
            if (served.get() < USUAL || lost.get() > 0) {
                record.say("could not run: the calm part was not served");
                return 2;
            }
            if (trouble) {
                record.add("run: %d bad clients come", BAD);
                for (int i = 0; i < BAD; i++) {
                    int number = i;
                    Threads.start("bad " + i, () -> bad(port, number));
                }
            }
            Thread.sleep(TROUBLE_MS);
            ended.set(true);
            for (Thread client : usual) {
                client.join();
            }
            record.say("in all: served %d, refused %d, failed %d, lost %d; longest PING %.0f ms; bad clients answered or"
                + " closed %d; this process stood still for %.0f ms in all, %.0f ms at most; the scheduler %s", served.get(),
                refused.get(), failed.get(), lost.get(), longestPing, badAnswered.get(), pauses.total(), pauses.longest(),
                scheduler.isAlive() ? "runs" : "has ended with " + scheduler.exitValue());
            record.add("log of the scheduler:%n%s", scheduler.log());
            return lost.get() > 0 || !scheduler.isAlive() ? 1 : 0;
        }
    }

    private String id() {
        return String.format("%016x", 0x9b1f03aa00000000L + ids.incrementAndGet());
    }

    /** A usual client: one request at a time on one connection, which it opens again when it has ended. */
    private void usual(int port, int number) throws InterruptedException {
        Random random = new Random(number);
        while (!ended.get()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!ended.get() && request(socket, in, number, random)) {
                    Thread.sleep(USUAL_PAUSE_MS);
                }
            } catch (IOException e) {
                record.add("usual %d: connection: %s", number, e);
                Thread.sleep(USUAL_PAUSE_MS);
            }
        }
    }

    /** Sends a request and waits for its answer. Returns whether the connection can be used again. */
    private boolean request(Socket socket, InputStream in, int number, Random random) throws IOException {
        String id = id();
        int draw = random.nextInt(100);
        String name = draw < 55 ? "report-read" : draw < 85 ? "report-ingest" : "bulk-export";
        int time = draw < 55 ? 1_200 : draw < 85 ? 3_000 : 5_000;
        String fields = "c=" + name + ",t=prioritario,d=" + time + ",volume=" + String.format("%016x", 0x3b4d60000L + number)
            + ",units=2,shard=" + random.nextInt(NODES) + ",hosts=1";
        byte[] command = name.equals("report-ingest") ? Resp.command("OBJ.PUT", "7f3a9c21e0b4d655", id, fields, new byte[2_000])
            : Resp.command("OBJ.GET", "7f3a9c21e0b4d655", id, fields);
        double pausedBefore = pauses.total();
        socket.getOutputStream().write(command);
        double sentAt = record.add("usual %d: sent %s %s", number, id, fields);
        String answer = null;
        String end = "";
        while (true) {
            double left = sentAt + time + SLACK_MS + pauses.total() - pausedBefore - record.now();
            if (left <= 0) {
                end = "no answer in time";
                break;
            }
            try {
                socket.setSoTimeout((int) Math.ceil(left));
                answer = Resp.readAnswer(in);
                end = answer == null ? "closed with no answer" : answer;
                break;
            } catch (SocketTimeoutException e) {
                // Waits on for as long as this process stood still meanwhile.
            } catch (IOException e) {
                end = "ended with no whole answer: " + e;
                break;
            }
        }
        record.add("usual %d: answer to %s after %.0f ms: %s", number, id, record.now() - sentAt, end);
        if (answer == null) {
            lost.incrementAndGet();
            record.add("broken: request %s is lost: %s", id, end);
            return false;
        }
        (answer.startsWith("$") ? served : answer.startsWith("-BUSY") ? refused : failed).incrementAndGet();
        if (answer.startsWith("$") && !answer.equals("$value-" + id)) {
            lost.incrementAndGet();
            record.add("broken: request %s was served with another value", id);
        }
        return true;
    }

    /** A bad client: sends most of one command, stays, and reads what it is sent. */
    private void bad(int port, int number) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            byte[] command = Resp.command("OBJ.PUT", "7f3a9c21e0b4d655", id(),
                "c=report-ingest,t=padrao,d=3000,volume=00000003b4d70000,units=2,shard=0,hosts=1", new byte[64 * 1024]);
            socket.getOutputStream().write(command, 0, command.length - 500);
            record.add("bad %d: sent %d of %d bytes", number, command.length - 500, command.length);
            String answer = Resp.readAnswer(new BufferedInputStream(socket.getInputStream()));
            record.add("bad %d: %s", number, answer == null ? "closed" : answer);
        } catch (IOException e) {
            record.add("bad %d: %s", number, e);
        }
        badAnswered.incrementAndGet();
    }

    /** Asks by PING all the time, to show for how long the scheduler stands still. */
    private void ping(int port) throws InterruptedException {
        while (!ended.get()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                while (!ended.get()) {
                    double sentAt = record.now();
                    socket.getOutputStream().write(Resp.command("PING"));
                    if (Resp.readAnswer(in) == null) {
                        break;
                    }
                    double took = record.now() - sentAt;
                    longestPing = Math.max(longestPing, took);
                    if (took > 200) {
                        record.add("ping: %.0f ms", took);
                    }
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
    }
}
