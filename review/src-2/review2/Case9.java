package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;

/**
 * One object server of six hangs in the middle of its work for some seconds: it has sent the heads of its answers, and goes
 * on afterwards. Clients read small objects, one after the other.
 */
final class Case9 extends Case {
    private static final int SHARDS = 6;
    private static final int HANG_MS = 8_000;
    private static final int OBJECT_BYTES = 1_000;
    /** The deadline of the class dump-read. */
    private static final int DEADLINE_MS = 1_200;
    /** Half a second after its time a request is lost; every time limit is 50 ms longer. */
    private static final int LATE_MS = 550;
    private static final int RUN_MS = 12_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile double hangsUntil;
    private InetSocketAddress listen;

    Case9() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(new Case9(), arguments);
    }

    private byte[] answer(int shard, String uri, Socket connection) throws Exception {
        byte[] content = content(uri);
        Thread.sleep(5);
        byte[] head = ("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: " + content.length + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
        double hang = shard == 0 ? hangsUntil - Record.now() : 0;
        if (hang > 0) {
            connection.getOutputStream().write(head);
            Record.line("server 0 has sent the head of %s and hangs", uri);
            Thread.sleep((long) hang);
            connection.getOutputStream().write(content);
            return null;
        }
        byte[] all = new byte[head.length + content.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(content, 0, all, head.length, content.length);
        return all;
    }

    private static byte[] content(String uri) {
        return uri.repeat(1 + OBJECT_BYTES / uri.length()).substring(0, OBJECT_BYTES).getBytes(StandardCharsets.US_ASCII);
    }

    /** The shard of an object, as the gateway spreads them. */
    private static int shard(String uri) {
        CRC32 sum = new CRC32();
        sum.update(uri.substring(1).getBytes(StandardCharsets.UTF_8));
        return (int) (sum.getValue() % SHARDS);
    }

    @Override boolean run() throws Exception {
        String[] endpoints = new String[SHARDS];
        for (int shard = 0; shard < SHARDS; shard++) {
            int own = shard;
            ObjectNode node = new ObjectNode((method, uri, head, body, connection) -> answer(own, uri, connection));
            endpoints[shard] = Gateway.endpoint(node.port(), shard, "HEALTHY");
        }
        int port = Scheduler.freePort();
        listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, SHARDS, Gateway.inline(endpoints), "");
        Scheduler gateway = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!gateway.awaitHttp(listen)) {
            throw new NotRunException("the gateway is not ready");
        }
        Thread.sleep(500);
        double start = Record.now();
        if (trouble) {
            hangsUntil = start + 2_000 + HANG_MS;
        }
        List<Thread> clients = new ArrayList<>();
        for (int shard = 0; shard < SHARDS; shard++) {
            int wanted = shard;
            double first = trouble && shard == 0 ? start + 2_000 : start;
            Thread client = new Thread(() -> read(wanted, first, start + RUN_MS));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        Record.say("served %d, refused or failed %d, lost %d", served.get(), refusedOrFailed.get(), lost.get());
        return lost.get() == 0;
    }

    /** Reads objects of one shard, a request every 250 ms at most. */
    private void read(int shard, double first, double until) {
        try {
            Thread.sleep((long) Math.max(0, first - Record.now()));
            for (int i = 0; Record.now() < until; i++) {
                String uri = "/crash-dumps/dump-" + i;
                if (shard(uri) == shard) {
                    read(uri);
                    Thread.sleep(250);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void read(String uri) {
        double at = Record.now();
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setSoTimeout(DEADLINE_MS + LATE_MS);
            socket.getOutputStream().write(("GET " + uri + " HTTP/1.1\r\nHost: dumps\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Response response = Http.readResponse(in);
            outcome = response.status() + " after " + (long) (Record.now() - at) + " ms";
            boolean late = Record.now() - at > DEADLINE_MS + LATE_MS;
            (late ? lost : response.status() == 200 ? served : refusedOrFailed).incrementAndGet();
        } catch (IOException e) {
            lost.incrementAndGet();
            outcome = "LOST, no byte of an answer " + (long) (Record.now() - at) + " ms after the request: " + e;
            System.out.println(uri + ": " + outcome);
        }
        Record.line("GET %s (shard %d): %s", uri, shard(uri), outcome);
    }
}
