package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Two new configurations in quick succession, the first of which lets a class be repeated; a node resets connections. */
final class Case9 extends Case {
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private volatile boolean resets;

    Case9() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(new Case9(), arguments);
    }

    @Override boolean run() throws Exception {
        Discovery discovery = new Discovery();
        RespNode node = new RespNode("s-0", 0, (self, command, connection) -> {
            int before = runs.computeIfAbsent(command[2], id -> new AtomicInteger()).getAndIncrement();
            Record.line("the node runs %s, run %d", command[2], before + 1);
            if (resets && before == 0) {
                connection.setSoLinger(true, 0);
                connection.close();
                return null;
            }
            return RespNode.served("ok".getBytes());
        });
        discovery.put("s-0", node.dial(), 0, "ready", 0);
        int port = Scheduler.freePort();
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("config.json");
        String at = "127.0.0.1:" + port;
        Platform.write(config, at, discovery.text(), null, discovery.list(), Platform.CLASSES.formatted("side_effect"), 1, 3);
        Scheduler scheduler = new Scheduler("n0", "", Map.of("GW_CONFIG", config.toString()), folder);
        if (!scheduler.awaitPong(listen)) throw new NotRunException("not ready");
        Thread.sleep(2500);
        Platform.write(config, at, discovery.text(), null, discovery.list(), Platform.CLASSES.formatted("pure"), 1, 3);
        scheduler.signal("HUP");
        double first = Record.now();
        Thread.sleep(300);
        if (trouble) {
            scheduler.signal("HUP");
        }
        resets = true;
        Thread.sleep(100);
        for (int i = 0; i < 3; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(listen);
                socket.setSoTimeout(4000);
                String id = HexFormat.of().toHexDigits(77_000L + i);
                socket.getOutputStream().write(Resp.command("OBJ.PUT", id, id,
                    "c=report-ingest,t=prioritario,d=3000,volume=00000003b4d60021,units=2,shard=0,hosts=1", "body"));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Record.line("client: %s %s, %.0f ms after the first signal", id, Resp.readAnswer(in), Record.now() - first);
            }
        }
        boolean held = true;
        for (var run : runs.entrySet()) {
            if (run.getValue().get() > 1) {
                Record.say("%s ran %d times", run.getKey(), run.getValue().get());
                held = false;
            }
        }
        return held;
    }
}
