package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A volume that asks for more than its limit, while its scheduler is replaced by a second process. Breaks if the nodes get
 * more than the limit allows. Descriptor 0 is the clients' listening socket, its port is in REVIEW_PORT. Arguments: project
 * root, folder of the case, 1 or 0 for the disruption.
 */
final class HandoverLimit {
    private static final int NODES = 10;
    private static final int CLIENTS = 40;
    private static final double RATE = 20;
    private static final double BURST = 36;
    private static final double TOLERANCE = 6;
    /** The slack grows by what the limit allows in 150 ms. */
    private static final double SLACK = TOLERANCE + RATE * 0.15;

    private final Record record;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final Set<String> seen = new HashSet<>();
    private double level = BURST;
    private double lastAt;
    private double lowest = BURST;

    private HandoverLimit(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            try {
                code = new HandoverLimit(record).run(root, !arguments[2].equals("0"));
            } catch (Exception e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    /** The store of the limit: the first attempt of each request takes its units once it has come whole. */
    private synchronized void taken(String id, double units) {
        if (!seen.add(id)) {
            return;
        }
        double now = record.now();
        level = Math.min(BURST, level + (now - lastAt) / 1000 * RATE);
        lastAt = now;
        level -= units;
        if (level < lowest) {
            lowest = level;
        }
        record.add("limit: %s takes %.0f units, %.1f left%s", id, units, level, level < -SLACK ? " BROKEN" : "");
    }

    private int run(Path root, boolean trouble) throws Exception {
        Path folder = Files.createTempDirectory("review");
        int port = Integer.parseInt(System.getenv("REVIEW_PORT"));
        Path shared = Files.createDirectories(folder.resolve("tmp"));
        Program first = new Program("old", folder, record).beside(shared);
        Program second = new Program("new", folder, record).beside(shared);
        try (Discovery discovery = new Discovery(record)) {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                Node node = new Node("s-" + i, 4, 30, record) {
                    @Override void arrived(List<byte[]> words) throws Exception {
                        super.arrived(words);
                        taken(text(words.get(2)), 3);
                    }
                };
                entries.add(Discovery.entry(node.name(), node.port(), i, "ready", 0));
            }
            discovery.list(entries);
            int firstMgmt = Program.freePort();
            start(first, root, folder, port, discovery, firstMgmt);
            awaitReady(firstMgmt);
            Thread.sleep(4_000);
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Threads.start("client " + i, () -> client(port, number));
            }
            Thread.sleep(6_000);
            record.say("before: served %d, refused %d, other %d, lowest level %.1f", served.get(), refused.get(), other.get(),
                lowest);
            if (trouble) {
                int secondMgmt = Program.freePort();
                start(second, root, folder, port, discovery, secondMgmt);
                awaitReady(secondMgmt);
                first.signal("TERM");
                record.add("run: old ended by itself: %b", first.awaitExit(3_700));
            }
            Thread.sleep(5_000);
            ended.set(true);
            Thread.sleep(500);
            record.say("in all: served %d, refused %d, other %d, lowest level %.1f, allowed -%.1f", served.get(), refused.get(),
                other.get(), lowest, SLACK);
            record.add("old: %s", first.log());
            if (trouble) {
                record.add("new: %s", second.log());
            }
            return lowest < -SLACK ? 1 : 0;
        } finally {
            first.close();
            second.close();
        }
    }

    private static void start(Program program, Path root, Path folder, int port, Discovery discovery, int mgmt)
        throws IOException {
        Path config = folder.resolve("n0-" + mgmt + ".json");
        String file = Settings.platformFile("n0", port, discovery.port(), discovery.known(), Settings.platform(1));
        Files.writeString(config, file.substring(0, file.length() - 1) + ",\"mgmt\":\"127.0.0.1:" + mgmt + "\"}");
        program.start(root, "", Map.of("GW_CONFIG", config.toString(), "GW_SOCKET_FD", "0"));
    }

    private void awaitReady(int mgmt) throws IOException, InterruptedException {
        double until = record.now() + 20_000;
        while (record.now() < until) {
            String answer = Mgmt.call(mgmt, "status");
            if (answer.startsWith("ACK")) {
                record.add("run: status at %d: %s", mgmt, answer);
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("not ready");
    }

    private void client(int port, int number) throws InterruptedException {
        Random random = new Random(number);
        while (!ended.get()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(6_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!ended.get()) {
                    String id = String.format("%016x", 0x9b1f03aa00000000L + ids.incrementAndGet());
                    socket.getOutputStream().write(Resp.command("OBJ.GET", "7f3a9c21e0b4d655", id,
                        "c=bulk-export,t=basico,d=5000,volume=00000003b4d60021,units=3,shard=" + random.nextInt(NODES)
                            + ",hosts=1"));
                    String answer = Resp.readAnswer(in);
                    record.add("client %d: %s %s", number, id, answer);
                    if (answer == null) {
                        other.incrementAndGet();
                        break;
                    }
                    (answer.startsWith("$") ? served : answer.startsWith("-BUSY") ? refused : other).incrementAndGet();
                    Thread.sleep(answer.startsWith("$") ? 100 : 500);
                }
            } catch (IOException e) {
                record.add("client %d: %s", number, e);
                Thread.sleep(50);
            }
        }
    }
}
