package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A class with a longer deadline appears by SIGHUP; later the process is replaced while a storage node hangs.
 */
final class Case10 extends UpgradeCase {
    private static final int REQUESTS = 3;
    private static final String SHORT_CLASSES = """
        [{"aim": 250.0, "deadline": 1200.0, "dedup_scope": "all", "effect": "pure", "late_share": 0.2, "name": "report-read",
          "streaming": false, "window": 5000.0, "worth": 2.0}]""";

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    Case10() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(Case10::new, arguments);
    }

    @Override boolean run() throws Exception {
        for (int block = 0; block < SHARDS; block++) {
            RespNode node = new RespNode("s-" + block, block, (self, command, connection) -> {
                Record.line("%s takes %s%s", self.name, command[2], self.block == 0 ? " and does not answer" : "");
                return self.block == 0 ? null : RespNode.served("value".getBytes(StandardCharsets.US_ASCII));
            });
            discovery.put(node.name, node.dial(), block, "ready", 0);
        }
        String all = Platform.CLASSES.formatted("side_effect");
        Path firstFile = folder.resolve("first.json");
        Path secondFile = folder.resolve("second.json");
        int firstMgmt = Scheduler.freePort();
        int secondMgmt = Scheduler.freePort();
        write(firstFile, firstMgmt, trouble ? SHORT_CLASSES : all);
        write(secondFile, secondMgmt, all);
        Scheduler first = start("first", firstFile);
        if (!first.awaitPong(listen)) {
            throw new NotRunException("the first process is not ready");
        }
        Thread.sleep(1_500);
        if (trouble) {
            write(firstFile, firstMgmt, all);
            Record.line("the file now names bulk-export too, with a deadline of 5 s");
            first.signal("HUP");
            Thread.sleep(2_500);
        }
        Scheduler second = null;
        List<Thread> clients = new ArrayList<>();
        Socket[] sockets = new Socket[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            sockets[i] = new Socket();
            sockets[i].connect(listen);
            ask(sockets[i], 100 + i, 1 + i % (SHARDS - 1), "bulk-export", 5_000);
            if (!Resp.readAnswer(sockets[i].getInputStream()).startsWith("$")) {
                throw new NotRunException("bulk-export is not served");
            }
        }
        second = start("second", secondFile);
        awaitYes(secondMgmt);
        Record.line("the second process has said yes");
        for (int i = 0; i < REQUESTS; i++) {
            ask(sockets[i], i, 0, "bulk-export", 5_000);
            int number = i;
            Thread client = new Thread(() -> await(sockets[number], number));
            client.start();
            clients.add(client);
        }
        Thread.sleep(300);
        double term = Record.now();
        first.signal("TERM");
        boolean ended = first.awaitEnd(KILL_AFTER_MS);
        Record.say(ended ? "the first process has ended %.0f ms after SIGTERM" : "the first process runs %.0f ms after SIGTERM",
            Record.now() - term);
        first.kill();
        for (Thread client : clients) {
            client.join();
        }
        Record.say("answered %d, lost %d", answered.get(), lost.get());
        return lost.get() == 0;
    }

    private static String id(int number) {
        return HexFormat.of().toHexDigits(5_000L + number);
    }

    private static void ask(Socket socket, int number, int shard, String requestClass, int deadline) throws IOException {
        Record.line("client: %s %s for s-%d, deadline %d ms", requestClass, id(number), shard, deadline);
        socket.getOutputStream().write(Resp.command("OBJ.GET", id(number), id(number), "c=" + requestClass
            + ",t=prioritario,d=" + deadline + ",volume=00000003b4d60021,units=2,shard=" + shard + ",hosts=1"));
    }

    private void await(Socket socket, int number) {
        double at = Record.now();
        try (socket) {
            socket.setSoTimeout(6_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Record.line("client: %s is answered %s after %.0f ms", id(number), Resp.readAnswer(in), Record.now() - at);
            answered.incrementAndGet();
        } catch (IOException e) {
            Record.say("%s: LOST, the connection ended without an answer after %.0f ms: %s", id(number), Record.now() - at, e);
            lost.incrementAndGet();
        }
    }
}
