package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The process is replaced some seconds after a bad client has sent one request whose volume is not 16 hex digits. Usual clients
 * send requests on new connections all the time. Descriptor 0 of this process is the clients' listening socket, as the platform
 * holds it.
 */
final class Case7 extends Case {
    private static final int SHARDS = 4;
    /** The longest deadline, counted as 3 s at most, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;
    private static final int DEADLINE_MS = 1_200;
    /** Half a second after its time a request is lost; every time limit is 50 ms longer. */
    private static final int LATE_MS = 550;
    private static final int REQUEST_EVERY_MS = 100;
    private static final int RUN_MS = 14_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private InetSocketAddress listen;

    Case7() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(new Case7(), arguments);
    }

    @Override boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (int block = 0; block < SHARDS; block++) {
            RespNode node = new RespNode("s-" + block, block, (self, command, connection) -> {
                Thread.sleep(4);
                return RespNode.served("value".getBytes(StandardCharsets.US_ASCII));
            });
            discovery.put(node.name, node.dial(), block, "ready", 0);
        }
        int port = Integer.parseInt(System.getenv("REVIEW_LISTEN_PORT"));
        listen = new InetSocketAddress("127.0.0.1", port);
        Path firstFile = folder.resolve("first.json");
        Path secondFile = folder.resolve("second.json");
        int secondMgmt = Scheduler.freePort();
        write(firstFile, port, discovery, Scheduler.freePort());
        write(secondFile, port, discovery, secondMgmt);
        Path shared = Files.createDirectories(folder.resolve("shared"));
        Scheduler first = start("first", firstFile, shared);
        if (!first.awaitPong(listen)) {
            throw new NotRunException("the first process is not ready");
        }
        Thread.sleep(1_500);
        if (trouble) {
            Record.line("bad client: %s", exchange(9_999, "no volume"));
        }
        double start = Record.now();
        Thread clients = new Thread(() -> sendAll(start));
        clients.start();
        Thread.sleep(1_000);
        start("second", secondFile, shared);
        long until = System.nanoTime() + 6_000_000_000L;
        while (!status(secondMgmt).startsWith("ACK")) {
            if (System.nanoTime() > until) {
                throw new NotRunException("the second process has not said yes within 6 s");
            }
            Thread.sleep(50);
        }
        Record.say("the second process has said yes %.0f ms after the clients began", Record.now() - start);
        first.signal("TERM");
        if (!first.awaitEnd(KILL_AFTER_MS)) {
            first.signal("KILL");
        }
        Record.line("the first process has ended");
        clients.join();
        Record.say("served %d, refused or failed %d, lost %d", served.get(), refusedOrFailed.get(), lost.get());
        return lost.get() == 0;
    }

    private static void write(Path file, int port, Discovery discovery, int mgmt) throws IOException {
        Platform.write(file, "127.0.0.1:" + port, discovery.text(), "127.0.0.1:" + mgmt, discovery.list(),
            Platform.CLASSES.formatted("side_effect"), SHARDS, 3);
    }

    private Scheduler start(String name, Path file, Path shared) throws IOException {
        return new Scheduler(name, "", Map.of("GW_CONFIG", file.toString(), "GW_SOCKET_FD", "0", "TMPDIR",
            shared.toString()), folder);
    }

    private static String status(int mgmt) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", mgmt), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("status\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "";
        }
    }

    private void sendAll(double start) {
        List<Thread> requests = new ArrayList<>();
        for (int i = 0; Record.now() < start + RUN_MS; i++) {
            int number = i;
            Thread request = new Thread(() -> send(number));
            request.start();
            requests.add(request);
            try {
                Thread.sleep(REQUEST_EVERY_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
        for (Thread request : requests) {
            try {
                request.join();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends one request; should its connection end unread, once more on a new one. */
    private void send(int number) {
        double at = Record.now();
        for (int attempt = 0; attempt < 2; attempt++) {
            try {
                String answer = exchange(number, "00000003b4d6002" + number % 8);
                double took = Record.now() - at;
                Record.line("request %d: %s after %.0f ms", number, answer, took);
                (took > DEADLINE_MS + LATE_MS ? lost : answer.startsWith("$") ? served : refusedOrFailed).incrementAndGet();
                return;
            } catch (SocketTimeoutException e) {
                Record.line("request %d: LOST, its last byte was written %.0f ms ago and there is no answer", number,
                    Record.now() - at);
                lost.incrementAndGet();
                return;
            } catch (IOException e) {
                Record.line("request %d: %s", number, e);
            }
        }
        refusedOrFailed.incrementAndGet();
    }

    private String exchange(int number, String volume) throws IOException {
        String id = HexFormat.of().toHexDigits(70_000L + number);
        try (Socket socket = new Socket()) {
            socket.connect(listen, 1_000);
            socket.setSoTimeout(DEADLINE_MS + LATE_MS);
            socket.getOutputStream().write(Resp.command("OBJ.GET", id, id, "c=report-read,t=basico,d=" + DEADLINE_MS
                + ",volume=" + volume + ",units=1,shard=" + number % SHARDS + ",hosts=1"));
            return Resp.readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }
}
