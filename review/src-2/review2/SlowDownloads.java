package review2;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

final class SlowDownloads {
    public static void main(String[] arguments) throws Exception {
        int n = Integer.getInteger("n", 300);
        int size = Integer.getInteger("size", 2 << 20);
        boolean up = Boolean.getBoolean("up");
        Record.open(Path.of(arguments[0]));
        Path folder = Files.createTempDirectory("review");
        byte[] value = new byte[size];
        for (int i = 0; i < size; i++) value[i] = (byte) (i * 31 + i / 1000);
        List<String> eps = new ArrayList<>();
        int shards = 8;
        for (int s = 0; s < shards; s++) {
            ObjectNode node = new ObjectNode((method, uri, head, body, connection) -> {
                Thread.sleep(2);
                if (method.equals("PUT")) return Http.response(200, "ETag: \"0\"\r\n", new byte[0]);
                return Http.response(200, "ETag: \"0\"\r\n", value);
            });
            eps.add(Gateway.endpoint(node.port(), s, "HEALTHY"));
        }
        int port = Scheduler.freePort();
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, shards, Gateway.inline(eps.toArray(new String[0])), "");
        Scheduler scheduler = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!scheduler.awaitHttp(listen)) System.exit(2);
        AtomicInteger ok = new AtomicInteger(), bad = new AtomicInteger(), refused = new AtomicInteger();
        List<Thread> ts = new ArrayList<>();
        for (int c = 0; c < n; c++) {
            int k = c;
            Thread t = new Thread(() -> {
                double at = Record.now();
                try (Socket socket = new Socket()) {
                    socket.setReceiveBufferSize(8192);
                    socket.connect(listen, 2000);
                    socket.setSoTimeout(9000);
                    InputStream in = socket.getInputStream();
                    if (up) {
                        socket.getOutputStream().write(("PUT /crash-dumps/o" + k + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + size + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                        int step = size / 40;
                        for (int i = 0; i < size; i += step) {
                            socket.getOutputStream().write(value, i, Math.min(step, size - i));
                            Thread.sleep(100);
                        }
                    } else {
                        socket.getOutputStream().write(("GET /crash-dumps/o" + k + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    }
                    Http.Head head = Http.readHead(in);
                    if (head.status() != 200) { refused.incrementAndGet(); Record.line("%d: %d after %.0f", k, head.status(), Record.now() - at); return; }
                    if (!up) {
                        int step = size / 40;
                        int got = 0;
                        while (got < size) {
                            byte[] b = in.readNBytes(Math.min(step, size - got));
                            if (b.length == 0) throw new java.io.EOFException("at " + got);
                            for (int i = 0; i < b.length; i++) if (b[i] != value[got + i]) throw new IllegalStateException("WRONG at " + (got + i));
                            got += b.length;
                            Thread.sleep(100);
                        }
                    }
                    ok.incrementAndGet();
                } catch (Exception e) { bad.incrementAndGet(); Record.line("%d: BAD %s after %.0f", k, e, Record.now() - at); }
            });
            t.start(); ts.add(t);
            Thread.sleep(10);
        }
        for (Thread t : ts) t.join();
        Record.say("ok %d refused %d bad %d alive %b", ok.get(), refused.get(), bad.get(), scheduler.isAlive());
        scheduler.signal("TERM"); scheduler.awaitEnd(8000);
        Files.copy(scheduler.log, Path.of(arguments[0]).resolveSibling("scheduler.log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        System.exit(0);
    }
}
