package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.CRC32;

/**
 * Four object servers hold a shard each. Two of them are replaced: server C comes for shard 0 at the address that server B
 * had, and server D for shard 1 at a new one. Clients go on storing and reading objects.
 */
final class Case9 extends Case {
    private static final int SHARDS = 4;
    private static final int OBJECTS = 24;

    /** An object server's store: the objects of its shard, by path. */
    private static final class Store {
        final String name;
        final int shard;
        final Map<String, byte[]> objects = new ConcurrentHashMap<>();

        Store(String name, int shard) {
            this.name = name;
            this.shard = shard;
        }
    }

    /** What answers at the second address; replaced with its machine. */
    private volatile Store atSecond;
    private InetSocketAddress listen;

    Case9() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(Case9::new, arguments);
    }

    private static byte[] answer(Store store, String method, String uri, byte[] body) {
        if (method.equals("PUT")) {
            store.objects.put(uri, body);
            Record.line("server %s (shard %d) stores %s, an object of shard %d", store.name, store.shard, uri, shard(uri));
            return Http.response(200, "ETag: \"1\"\r\n", new byte[0]);
        }
        byte[] found = store.objects.get(uri);
        Record.line("server %s (shard %d) is asked for %s, an object of shard %d: %s", store.name, store.shard, uri,
            shard(uri), found == null ? "not there" : "there");
        return found == null ? Http.response(404, "Content-Type: application/xml\r\n",
            "<Error><Code>NoSuchKey</Code></Error>".getBytes(StandardCharsets.UTF_8))
            : Http.response(200, "ETag: \"1\"\r\n", found);
    }

    /** The shard of an object, as the gateway spreads them. */
    private static int shard(String uri) {
        CRC32 sum = new CRC32();
        sum.update(uri.substring(1).getBytes(StandardCharsets.UTF_8));
        return (int) (sum.getValue() % SHARDS);
    }

    @Override boolean run() throws Exception {
        Store a = new Store("A", 0);
        atSecond = new Store("B", 1);
        ObjectNode first = new ObjectNode((method, uri, head, body, connection) -> answer(a, method, uri, body));
        ObjectNode second = new ObjectNode((method, uri, head, body, connection) -> answer(atSecond, method, uri, body));
        Store d = new Store("D", 1);
        ObjectNode third = new ObjectNode((method, uri, head, body, connection) -> answer(d, method, uri, body));
        Store e = new Store("E", 2);
        Store f = new Store("F", 3);
        ObjectNode fourth = new ObjectNode((method, uri, head, body, connection) -> answer(e, method, uri, body));
        ObjectNode fifth = new ObjectNode((method, uri, head, body, connection) -> answer(f, method, uri, body));
        String others = Gateway.endpoint(fourth.port(), 2, "HEALTHY") + "," + Gateway.endpoint(fifth.port(), 3, "HEALTHY");
        Xds xds = new Xds(Gateway.assignment(Gateway.endpoint(first.port(), 0, "HEALTHY"),
            Gateway.endpoint(second.port(), 1, "HEALTHY"), others));
        int port = Scheduler.freePort();
        listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, SHARDS, xds.section(), "");
        Scheduler gateway = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!gateway.awaitHttp(listen)) {
            throw new NotRunException("the gateway is not ready");
        }
        Thread.sleep(500);
        for (int i = 0; i < OBJECTS; i++) {
            if (call("PUT", "/crash-dumps/old-" + i, "old " + i).status() != 200) {
                throw new NotRunException("an object was not stored");
            }
        }
        if (trouble) {
            Store c = new Store("C", 0);
            c.objects.putAll(a.objects);
            d.objects.putAll(atSecond.objects);
            atSecond = c;
            xds.tell("2", Gateway.assignment(Gateway.endpoint(second.port(), 0, "HEALTHY"),
                Gateway.endpoint(third.port(), 1, "HEALTHY"), others));
        }
        Thread.sleep(2000);
        int wrong = 0;
        int refused = 0;
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < OBJECTS; i++) {
                Http.Response read = call("GET", "/crash-dumps/old-" + i, null);
                if (read.status() == 404 || read.status() == 200 && !read.text().equals("old " + i)) {
                    Record.say("GET old-%d: %d, but the object was stored and never deleted", i, read.status());
                    wrong++;
                } else if (read.status() != 200) {
                    refused++;
                }
                call("PUT", "/crash-dumps/new-" + i, "new " + i);
            }
        }
        for (Store store : new Store[] {a, atSecond, d, e, f}) {
            for (String uri : store.objects.keySet()) {
                if (shard(uri) != store.shard) {
                    Record.say("%s was stored by server %s, which does not hold its shard", uri, store.name);
                    wrong++;
                }
            }
        }
        Record.say("wrong answers and misplaced objects %d, refused %d", wrong, refused);
        return wrong == 0;
    }

    private Http.Response call(String method, String uri, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(listen);
            socket.setSoTimeout(10_000);
            String length = body == null ? "" : "Content-Length: " + body.length() + "\r\n";
            socket.getOutputStream().write((method + " " + uri + " HTTP/1.1\r\nHost: dumps\r\n" + length + "\r\n"
                + (body == null ? "" : body)).getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Response response = Http.readResponse(in);
            Record.line("client: %s %s: %d", method, uri, response.status());
            return response;
        }
    }
}
