package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients of the object API upload objects in bursts, and some of them leave early. Breaks if a storage node gets the first byte
 * of an attempt more than 0.1 s after the client has closed its connection. Arguments: project root, folder of the case, 1 or
 * 0 for the disruption.
 */
final class GoneClients {
    private static final int NODES = 6;
    private static final int SLOTS = 4;
    private static final int SERVICE_MS = 100;
    private static final int ROUNDS = 12;
    private static final int UPLOADS = 36;
    /** One in this many clients leaves early. */
    private static final int LEAVES_ONE_IN = 3;
    private static final int LEAVES_AFTER_MS = 30;
    private static final int ROUND_MS = 1_500;
    private static final int OBJECT_BYTES = 300_000;
    /** An attempt may begin so long after the close; every time limit is longer by 50 ms. */
    private static final double ALLOWED_MS = 100 + 50;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");

    private final Record record;
    private final Pauses pauses = new Pauses();
    private final Map<String, Double> closedAt = new ConcurrentHashMap<>();
    private final Map<String, Double> pausedAtClose = new ConcurrentHashMap<>();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger storedForGone = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();

    private GoneClients(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            try {
                code = new GoneClients(record).run(root, !arguments[2].equals("0"));
            } catch (Exception e) {
                record.say("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    private int run(Path root, boolean trouble) throws Exception {
        try (Temporary temporary = new Temporary(); Program gateway = new Program("gateway", temporary.path(), record)) {
            int[] ports = new int[NODES];
            for (int i = 0; i < NODES; i++) {
                ports[i] = node(i);
            }
            int port = Program.freePort();
            Path config = temporary.path().resolve("objects.json");
            Files.writeString(config, Settings.objects(port, ports));
            gateway.start(root, "--config " + config, Map.of());
            gateway.awaitPort(port, 20_000);
            Thread.sleep(1_000);
            for (int round = 0; round < ROUNDS; round++) {
                double next = record.now() + ROUND_MS;
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < UPLOADS; i++) {
                    String object = "/crash-dumps/dump-" + round + "-" + i;
                    boolean leaves = trouble && i % LEAVES_ONE_IN == 0;
                    clients.add(Threads.start(object, () -> upload(port, object, leaves)));
                }
                for (Thread client : clients) {
                    client.join(10_000);
                }
                Thread.sleep((long) Math.max(0, next - record.now()));
            }
            Thread.sleep(1_000);
            ended.set(true);
            record.add("log of the gateway:%n%s", gateway.log());
            record.say("uploads: %d served, %d refused, %d otherwise, %d clients left early; attempts begun: %d, of them %d too long"
                + " after the client had left, %d of which were stored", served.get(), refused.get(), other.get(), left.get(),
                begun.get(), broken.get(), storedForGone.get());
            if (served.get() < UPLOADS) {
                record.say("could not run: hardly anything was served");
                return 2;
            }
            return broken.get() > 0 ? 1 : 0;
        }
    }

    // ---------------------------------------------------------------- clients

    private void upload(int port, String object, boolean leaves) throws InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(("PUT " + object + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nContent-Length: "
                + OBJECT_BYTES + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            request.writeBytes(new byte[OBJECT_BYTES]);
            socket.getOutputStream().write(request.toByteArray());
            record.add("client: %s sent whole", object);
            if (leaves) {
                Thread.sleep(LEAVES_AFTER_MS);
                socket.close();
                left.incrementAndGet();
                pausedAtClose.put(object, pauses.total());
                closedAt.put(object, record.add("client: %s closed", object));
                return;
            }
            String status = line(socket.getInputStream());
            record.add("client: %s -> %s", object, status);
            (status.contains(" 200 ") ? served : status.contains(" 503 ") ? refused : other).incrementAndGet();
        } catch (IOException e) {
            record.add("client: %s: %s", object, e);
            other.incrementAndGet();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n';) {
            if (c < 0) {
                throw new IOException("ended with no answer");
            }
            line.append((char) c);
        }
        return line.toString().strip();
    }

    // ---------------------------------------------------------------- storage nodes

    /** Starts a storage node that serves so many uploads at once, and returns its port. */
    private int node(int number) throws IOException {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Semaphore slots = new Semaphore(SLOTS, true);
        Threads.start("node " + number, () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("node " + number + " connection", () -> serve(number, socket, slots));
            }
        });
        return listener.getLocalPort();
    }

    private void serve(int number, Socket socket, Semaphore slots) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (int first; (first = in.read()) >= 0;) {
                double at = record.now();
                StringBuilder head = new StringBuilder().append((char) first);
                while (head.indexOf("\r\n\r\n") < 0) {
                    int c = in.read();
                    if (c < 0) {
                        return;
                    }
                    head.append((char) c);
                }
                String object = head.toString().split(" ")[1];
                boolean late = attemptBegan(number, object, at);
                if (head.toString().toLowerCase(java.util.Locale.ROOT).contains("100-continue")) {
                    out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                Matcher length = LENGTH.matcher(head);
                int size = length.find() ? Integer.parseInt(length.group(1)) : 0;
                if (in.readNBytes(size).length < size) {
                    record.add("node %d: %s cut off", number, object);
                    return;
                }
                slots.acquire();
                try {
                    Thread.sleep(SERVICE_MS);
                } finally {
                    slots.release();
                }
                record.add("node %d: %s stored", number, object);
                if (late) {
                    storedForGone.incrementAndGet();
                }
                out.write("HTTP/1.1 200 OK\r\nETag: \"x\"\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** Notes the first byte of an attempt; returns whether it came too long after its client had left. */
    private boolean attemptBegan(int number, String object, double at) {
        begun.incrementAndGet();
        Double closed = closedAt.get(object);
        if (closed == null) {
            record.add("node %d: %s begins", number, object);
            return false;
        }
        double late = at - closed;
        boolean isLate = late > ALLOWED_MS + pauses.total() - pausedAtClose.get(object);
        record.add("node %d: %s begins %.0f ms after its client closed%s", number, object, late, isLate ? ": broken" : "");
        if (isLate) {
            broken.incrementAndGet();
        }
        return isLate;
    }
}
