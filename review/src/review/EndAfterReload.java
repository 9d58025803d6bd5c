package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart of one scheduler some seconds after new settings were read at SIGHUP, in which the class with the longest
 * deadline has vanished. Breaks if SIGKILL, which comes at the earliest time that the pages allow, finds requests unanswered
 * that came more than 0.7 s after SIGTERM. Without the disruption the scheduler has had these settings since its start, and
 * all else is the same. Arguments: project root, folder of the case, 1 or 0 for the disruption.
 */
final class EndAfterReload {
    private static final int NODES = 10;
    private static final int SLOTS = 4;
    private static final int SERVICE_MS = 60;
    private static final int CLIENTS = 20;
    /** The deadline of the two classes that stay, and the longest one once the third has vanished. */
    private static final int DEADLINE_MS = 1_200;
    private static final int CALM_MS = 2_000;
    /** From the new settings to the restart: longer than any deadline of the old ones. */
    private static final int SETTLED_MS = 6_000;
    /** SIGKILL comes no sooner than the longest deadline and this after SIGTERM. */
    private static final int KILL_DELAY_MS = 700;
    /** Every time limit is longer by this. */
    private static final int SLACK_MS = 50;
    /** If the test's own process stands still for longer than this after SIGTERM, the machine is too slow for a verdict. */
    private static final double MAX_PAUSE_MS = 150;
    /** A request sent within this before SIGKILL is not counted: it may not have reached the scheduler. */
    private static final double IN_TRANSIT_MS = 20;

    private final Record record;
    private final Pauses pauses = new Pauses();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile double termAt = Double.POSITIVE_INFINITY;
    private volatile double killAt = Double.POSITIVE_INFINITY;

    private EndAfterReload(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            try {
                code = new EndAfterReload(record).run(root, !arguments[2].equals("0"));
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
            String before = Settings.withIngestDeadline(Settings.platform(1), DEADLINE_MS);
            String after = Settings.withoutBulkExport(before);
            Files.writeString(config, Settings.platformFile("n0", port, discovery.port(), discovery.known(),
                trouble ? before : after));
            scheduler.start(root, "", Map.of("GW_CONFIG", config.toString()));
            scheduler.awaitPort(port, 20_000);
            Thread.sleep(1_500);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                clients.add(Threads.start("client " + i, () -> client(port, number)));
            }
            Thread.sleep(CALM_MS);
            if (trouble) {
                Path next = Files.writeString(folder.resolve("next.json"), Settings.platformFile("n0", port, discovery.port(),
                    discovery.known(), after));
                Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                scheduler.signal("HUP");
            }
            Thread.sleep(SETTLED_MS);
            record.say("before the restart: served %d, refused %d, failed %d", served.get(), refused.get(), failed.get());
            if (served.get() < CLIENTS || trouble && !scheduler.log().contains("configuration reloaded")) {
                record.say("could not run: nothing was served, or the settings were not taken");
                return 2;
            }
            double pausedBefore = pauses.total();
            end(scheduler);
            double paused = pauses.total() - pausedBefore;
            for (Thread client : clients) {
                client.join(3_000);
            }
            record.add("log of the scheduler:%n%s", scheduler.log());
            record.say("in all: served %d, refused %d, failed %d; lost at SIGKILL %d", served.get(), refused.get(),
                failed.get(), lost.get());
            if (paused > MAX_PAUSE_MS) {
                record.say("could not run: this process stood still for %.0f ms after SIGTERM", paused);
                return 2;
            }
            return lost.get() > 0 ? 1 : 0;
        }
    }

    /** SIGTERM, and SIGKILL at the earliest time for the settings now in force. */
    private void end(Program scheduler) throws IOException, InterruptedException {
        termAt = record.now();
        scheduler.signal("TERM");
        long wait = DEADLINE_MS + KILL_DELAY_MS + SLACK_MS - (long) (record.now() - termAt);
        if (scheduler.awaitExit(wait)) {
            record.add("run: the scheduler has ended by itself %.0f ms after SIGTERM, with %d", record.now() - termAt,
                scheduler.exitValue());
        }
        killAt = record.now();
        ended.set(true);
        if (scheduler.isAlive()) {
            scheduler.signal("KILL");
            scheduler.awaitExit(5_000);
        }
    }

    /** A client: one request at a time on one connection, for as long as that is open; then it opens another one. */
    private void client(int port, int number) throws InterruptedException {
        Random random = new Random(number);
        while (!ended.get()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!ended.get() && request(socket, in, number, random)) {
                    Thread.sleep(5);
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    private boolean request(Socket socket, InputStream in, int number, Random random) throws IOException {
        String id = String.format("%016x", 0x9b1f03aa00000000L + ids.incrementAndGet());
        boolean writes = random.nextInt(3) == 0;
        String fields = "c=" + (writes ? "report-ingest" : "report-read") + ",t=prioritario,d="
            + DEADLINE_MS + ",volume=" + String.format("%016x", 0x3b4d60000L + number)
            + ",units=2,shard=" + random.nextInt(NODES) + ",hosts=1";
        byte[] command = writes ? Resp.command("OBJ.PUT", "7f3a9c21e0b4d655", id, fields, new byte[2_000])
            : Resp.command("OBJ.GET", "7f3a9c21e0b4d655", id, fields);
        socket.getOutputStream().write(command);
        double sentAt = record.add("client %d: sent %s %s", number, id, fields);
        String answer;
        try {
            answer = Resp.readAnswer(in);
        } catch (IOException e) {
            record.add("client %d: %s: %s", number, id, e);
            answer = null;
        }
        double at = record.add("client %d: answer to %s: %s", number, id, answer);
        if (answer != null) {
            (answer.startsWith("$") ? served : answer.startsWith("-BUSY") ? refused : failed).incrementAndGet();
            return true;
        }
        // What the scheduler closes between requests may cross a request, which its client sends once more. What SIGKILL
        // finds unanswered is lost.
        if (at >= killAt && sentAt > termAt + KILL_DELAY_MS && sentAt < killAt - IN_TRANSIT_MS) {
            lost.incrementAndGet();
            record.add("broken: request %s came %.0f ms after SIGTERM and had no answer at SIGKILL, %.0f ms after its sending",
                id, sentAt - termAt, killAt - sentAt);
        }
        return false;
    }
}
