package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The process is replaced some seconds after a bad client has sent one request whose volume is not 16 hex digits. Usual clients
 * send requests on new connections all the time.
 */
final class Case7 extends UpgradeCase {
    private static final int DEADLINE_MS = 1_200;
    /** Half a second after its time a request is lost; every time limit is 50 ms longer. */
    private static final int LATE_MS = 550;
    private static final int REQUEST_EVERY_MS = 100;
    private static final int RUN_MS = 14_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    Case7() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(Case7::new, arguments);
    }

    @Override boolean run() throws Exception {
        for (int block = 0; block < SHARDS; block++) {
            RespNode node = new RespNode("s-" + block, block, (self, command, connection) -> {
                Thread.sleep(4);
                return RespNode.served("value".getBytes(StandardCharsets.US_ASCII));
            });
            discovery.put(node.name, node.dial(), block, "ready", 0);
        }
        Path firstFile = folder.resolve("first.json");
        Path secondFile = folder.resolve("second.json");
        int secondMgmt = Scheduler.freePort();
        String classes = Platform.CLASSES.formatted("side_effect");
        write(firstFile, Scheduler.freePort(), classes);
        write(secondFile, secondMgmt, classes);
        Scheduler first = start("first", firstFile);
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
        start("second", secondFile);
        awaitYes(secondMgmt);
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
