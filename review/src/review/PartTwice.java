package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * An upload in parts by the object API, while its storage node stands still in the middle of its work for some seconds and
 * goes on. Breaks if the node stores a part twice. Arguments: project root, folder of the case, 1 or 0 for the disruption.
 */
final class PartTwice {
    private static final int NODES = 6;
    private static final int WORK_MS = 250;
    private static final int STILL_MS = 8_000;
    private static final int PARTS = 4;
    private static final int PART_BYTES = 64 * 1024;
    private static final int TOTAL_MS = 25_000;

    private final Record record;
    private final Map<String, Integer> begun = new ConcurrentHashMap<>();
    private final Map<String, Integer> stored = new ConcurrentHashMap<>();
    private final CountDownLatch working = new CountDownLatch(1);

    private PartTwice(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        boolean trouble = !arguments[2].equals("0");
        int code = 2;
        try (Temporary temporary = new Temporary(); Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            try {
                code = new PartTwice(record).run(root, temporary.path(), trouble);
            } catch (Exception e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    private int run(Path root, Path folder, boolean trouble) throws Exception {
        List<Process> nodes = new ArrayList<>();
        int[] ports = new int[NODES];
        Program gateway = new Program("gateway", folder, record);
        try {
            for (int i = 0; i < NODES; i++) {
                Process node = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "review.ObjectNode", "" + WORK_MS)
                    .redirectError(ProcessBuilder.Redirect.INHERIT).start();
                nodes.add(node);
                Runtime.getRuntime().addShutdownHook(new Thread(node::destroyForcibly));   // a stopped node doesn't end by itself
                BufferedReader lines = new BufferedReader(new InputStreamReader(node.getInputStream(), StandardCharsets.UTF_8));
                ports[i] = Integer.parseInt(lines.readLine().split(" ")[1]);
                int number = i;
                Threads.start("node " + i, () -> read(number, lines));
                record.add("run: node %d at port %d, process %d", i, ports[i], node.pid());
            }
            int port = Program.freePort();
            Path config = folder.resolve("objects.json");
            Files.writeString(config, Settings.objects(port, ports));
            gateway.start(root, "--config " + config, Map.of());
            gateway.awaitPort(port, 20_000);
            Thread.sleep(4_000);          // longer than the time for which the program holds back after a start
            upload(port, trouble ? nodes.get(0) : null);
            record.add("log of the gateway:%n%s", gateway.log());
        } finally {
            gateway.close();
            for (Process node : nodes) {
                node.destroyForcibly();
            }
        }
        int twice = 0;
        for (Map.Entry<String, Integer> part : stored.entrySet()) {
            if (part.getValue() > 1) {
                twice++;
                record.say("broken: part %s was stored %d times", part.getKey(), part.getValue());
            }
        }
        record.say("%d parts stored, %d of them twice or more", stored.size(), twice);
        if (stored.size() < PARTS) {
            record.say("could not run: not every part was stored");
            return 2;
        }
        return twice > 0 ? 1 : 0;
    }

    private void read(int node, BufferedReader lines) throws IOException {
        for (String line; (line = lines.readLine()) != null;) {
            record.add("node %d: %s", node, line);
            String[] words = line.split(" ");
            if (words[0].equals("begun") && begun.merge(words[1], 1, Integer::sum) == 1) {
                working.countDown();
            } else if (words[0].equals("stored")) {
                stored.merge(words[1], 1, Integer::sum);
            }
        }
    }

    /** A name of an object in the first node's shard. */
    private static String objectOfFirstShard() {
        for (int i = 0;; i++) {
            CRC32 sum = new CRC32();
            sum.update(("crash-dumps/dump-" + i).getBytes(StandardCharsets.UTF_8));
            if (sum.getValue() % NODES == 0) {
                return "/crash-dumps/dump-" + i;
            }
        }
    }

    private void upload(int port, Process stopped) throws Exception {
        String object = objectOfFirstShard();
        Http.Answer created = Http.call(port, "POST", object + "?uploads", new byte[0], 10_000);
        record.add("client: create %s -> %d %s", object, created.status(), created.body());
        Matcher id = Pattern.compile("<UploadId>(.*?)</UploadId>").matcher(created.body());
        if (!id.find()) {
            throw new IOException("no upload");
        }
        double until = record.now() + TOTAL_MS;
        List<Thread> clients = new ArrayList<>();
        for (int part = 1; part <= PARTS; part++) {
            int number = part;
            clients.add(Threads.start("part " + part, () -> send(port, object, id.group(1), number, until)));
        }
        if (stopped != null) {
            if (!working.await(5, TimeUnit.SECONDS)) {
                throw new IOException("no part came to the node");
            }
            Thread.sleep(WORK_MS / 5);
            signal("STOP", stopped);
            Thread.sleep(STILL_MS);
            signal("CONT", stopped);
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1_000);
    }

    private void signal(String name, Process process) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        record.add("run: SIG%s to node 0", name);
    }

    /** Sends a part, and sends it again until it is answered 200: after the advised wait if there is advice. */
    private void send(int port, String object, String upload, int number, double until) throws InterruptedException {
        byte[] body = new byte[PART_BYTES];
        java.util.Arrays.fill(body, (byte) ('a' + number));
        while (record.now() < until) {
            record.add("client: part %d sent", number);
            Http.Answer answer = Http.call(port, "PUT", object + "?partNumber=" + number + "&uploadId=" + upload, body, 15_000);
            String advice = answer.headers().get("retry-after");
            record.add("client: part %d -> %d, Retry-After %s", number, answer.status(), advice);
            if (answer.status() == 200) {
                return;
            }
            Thread.sleep(advice == null ? 500 : Long.parseLong(advice) * 1_000);
        }
    }
}
