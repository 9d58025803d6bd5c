package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One storage node of twelve takes requests and answers none. Four clients each send a request for it and, on the same
 * connection, requests for other nodes, whose values are short ones. A fifth client sends one request after the other.
 */
final class Case6 extends Case {
    private static final int SHARDS = 12;
    private static final int PIPELINING_CLIENTS = 4;
    /** 45 a second on each of four connections, and 10 a second on the fifth: 190 a second in all. */
    private static final int PACE_MS = 22;
    private static final int COMMANDS = 225;
    private static final int USUAL_PACE_MS = 100;
    private static final int USUAL_REQUESTS = 120;
    /** A short value: 64 KiB at most. */
    private static final int VALUE_BYTES = 64_000;
    /** Half a second after its time a request is lost; every time limit is 50 ms longer. */
    private static final double LATE_MS = 550;

    private record Sent(String id, double at, int deadline) {}

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private InetSocketAddress listen;

    Case6() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(Case6::new, arguments);
    }

    @Override boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (int block = 0; block < SHARDS; block++) {
            boolean hangs = trouble && block == 0;
            RespNode node = new RespNode("s-" + block, block, (self, command, connection) -> {
                if (hangs) {
                    Record.line("%s takes %s and does not answer", self.name, command[2]);
                    return null;
                }
                Thread.sleep(4);
                return RespNode.served(value(command[2]));
            });
            discovery.put(node.name, node.dial(), block, "ready", 0);
        }
        int port = Scheduler.freePort();
        listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("config.json");
        Platform.write(config, "127.0.0.1:" + port, discovery.text(), null, discovery.list(),
            Platform.CLASSES.formatted("side_effect"), SHARDS, 3);
        Scheduler scheduler = new Scheduler("n0", "", Map.of("GW_CONFIG", config.toString()), folder);
        if (!scheduler.awaitPong(listen)) {
            throw new NotRunException("the scheduler is not ready");
        }
        Thread.sleep(1000);
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < PIPELINING_CLIENTS; c++) {
            int client = c;
            threads.add(new Thread(() -> pipeline(client)));
        }
        threads.add(new Thread(this::oneByOne));
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        Record.say("served %d, refused or failed %d, lost %d; the scheduler %s", served.get(), refusedOrFailed.get(),
            lost.get(), scheduler.isAlive() ? "runs" : "HAS ENDED with code " + scheduler.exitCode());
        return lost.get() == 0 && scheduler.isAlive();
    }

    private static byte[] value(String id) {
        return id.repeat(VALUE_BYTES / id.length()).getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] read(String id, boolean export, int shard) {
        return Resp.command("OBJ.GET", id, id, "c=" + (export ? "bulk-export" : "report-read") + ",t=prioritario,d="
            + deadline(export) + ",volume=00000003b4d6002" + shard % 8 + ",units=2,shard=" + shard + ",hosts=1");
    }

    private static int deadline(boolean export) {
        return export ? 5000 : 1200;
    }

    /** Checks an answer. Time spent waiting for the answers before it does not count. */
    private void answered(Sent request, String answer, double before) {
        double now = Record.now();
        boolean late = now > Math.max(request.at() + request.deadline(), before) + LATE_MS;
        String value = answer.startsWith("$") ? "served" : answer;
        Record.line("%s: %s after %.0f ms%s", request.id(), value, now - request.at(), late ? ", TOO LATE: lost" : "");
        if (late) {
            lost.incrementAndGet();
        } else if (answer.startsWith("$")) {
            served.incrementAndGet();
        } else {
            refusedOrFailed.incrementAndGet();
        }
    }

    private void pipeline(int number) {
        ConcurrentLinkedQueue<Sent> open = new ConcurrentLinkedQueue<>();
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(12_000);
            Thread sender = new Thread(() -> send(number, socket, open));
            sender.start();
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            double before = 0;
            for (int i = 0; i < COMMANDS; i++) {
                String answer = Resp.readAnswer(in);
                answered(open.poll(), answer, before);
                before = Record.now();
            }
            sender.join();
        } catch (Exception e) {
            Record.line("client %d: %s; %d requests have no answer: lost", number, e, open.size());
            lost.addAndGet(open.size());
        }
    }

    private void send(int number, Socket socket, ConcurrentLinkedQueue<Sent> open) {
        try {
            for (int i = 0; i < COMMANDS; i++) {
                String id = HexFormat.of().toHexDigits(number * 100_000L + i);
                byte[] command = read(id, i == 0, i == 0 ? 0 : 1 + (i + number) % (SHARDS - 1));
                open.add(new Sent(id, Record.now(), deadline(i == 0)));
                socket.getOutputStream().write(command);
                Thread.sleep(PACE_MS);
            }
        } catch (Exception e) {
            Record.line("client %d cannot send: %s", number, e);
        }
    }

    private void oneByOne() {
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                String id = HexFormat.of().toHexDigits(9_000_000L + i);
                Sent request = new Sent(id, Record.now(), deadline(false));
                socket.getOutputStream().write(read(id, false, 1 + i % (SHARDS - 1)));
                try {
                    answered(request, Resp.readAnswer(in), 0);
                } catch (IOException e) {
                    Record.line("%s: usual client: %s: lost", id, e);
                    lost.incrementAndGet();
                    return;
                }
                Thread.sleep(USUAL_PACE_MS);
            }
        } catch (Exception e) {
            Record.line("usual client: %s", e);
        }
    }
}
