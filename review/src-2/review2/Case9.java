package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * A new configuration makes a class stricter; later the operators go back to the former file, and send SIGHUP once more soon
 * after. A node resets connections under requests that have begun.
 */
final class Case9 extends Case {
    private static final int REQUESTS = 4;
    private static final long STRICT_FOR_MS = 3_000;
    private static final long BETWEEN_SIGNALS_MS = 300;
    /** New settings take effect so long after SIGHUP; requests that are sent later are not judged. */
    private static final double TAKES_EFFECT_MS = 1_200;

    private final Map<String, Integer> runs = new TreeMap<>();
    private InetSocketAddress listen;

    Case9() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(new Case9(), arguments);
    }

    @Override boolean run() throws Exception {
        Discovery discovery = new Discovery();
        RespNode node = new RespNode("s-0", 0, (self, command, connection) -> {
            int run;
            synchronized (runs) {
                run = runs.merge(command[2], 1, Integer::sum);
            }
            Record.line("the node runs %s, run %d", command[2], run);
            if (run > 1) {
                return RespNode.served("stored".getBytes(StandardCharsets.US_ASCII));
            }
            connection.setSoLinger(true, 0);
            connection.close();
            return null;
        });
        discovery.put("s-0", node.dial(), 0, "ready", 0);
        int port = Scheduler.freePort();
        String address = "127.0.0.1:" + port;
        listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("config.json");
        String former = Platform.CLASSES.formatted("pure");
        String stricter = Platform.CLASSES.formatted("side_effect");
        Platform.write(config, address, discovery.text(), null, discovery.list(), former, 1, 3);
        Scheduler scheduler = new Scheduler("n0", "", Map.of("GW_CONFIG", config.toString()), folder);
        if (!scheduler.awaitPong(listen)) {
            throw new NotRunException("the scheduler is not ready");
        }
        Thread.sleep(1_500);
        Platform.write(config, address, discovery.text(), null, discovery.list(), stricter, 1, 3);
        Record.line("the file now names report-ingest as side_effect");
        scheduler.signal("HUP");
        Thread.sleep(STRICT_FOR_MS);
        ingest(1);
        Platform.write(config, address, discovery.text(), null, discovery.list(), former, 1, 3);
        Record.line("the file is the former one again: report-ingest is pure");
        double goneBack = Record.now();
        scheduler.signal("HUP");
        Thread.sleep(BETWEEN_SIGNALS_MS);
        if (trouble) {
            scheduler.signal("HUP");
        }
        Thread.sleep(100);
        for (int i = 2; i < 2 + REQUESTS && Record.now() < goneBack + TAKES_EFFECT_MS - 500; i++) {
            Record.line("report-ingest is side_effect for another %.0f ms", goneBack + TAKES_EFFECT_MS - Record.now());
            ingest(i);
        }
        if (runs.size() < 2) {
            throw new NotRunException("this machine was too slow to send a request in time");
        }
        boolean held = true;
        for (Map.Entry<String, Integer> run : runs.entrySet()) {
            if (run.getValue() > 1) {
                Record.say("report-ingest %s ran %d times", run.getKey(), run.getValue());
                held = false;
            }
        }
        return held;
    }

    private void ingest(int number) throws IOException {
        String id = HexFormat.of().toHexDigits(77_000L + number);
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setSoTimeout(4_000);
            Record.line("client: report-ingest %s", id);
            socket.getOutputStream().write(Resp.command("OBJ.PUT", id, id,
                "c=report-ingest,t=prioritario,d=3000,volume=00000003b4d60021,units=2,shard=0,hosts=1", "report"));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Record.line("client: report-ingest %s is answered %s", id, Resp.readAnswer(in));
        }
    }
}
