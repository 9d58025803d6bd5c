package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client reads objects one after the other. One in five connections of the object server is reset between the head of an
 * answer that has no length and its first byte of content.
 */
final class Case10 extends Case {
    private static final int OBJECTS = 30;
    private static final int RESET_EVERY = 5;
    private static final int RESET_AFTER_MS = 50;

    Case10() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        main(new Case10(), arguments);
    }

    @Override boolean run() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ObjectNode node = new ObjectNode((method, uri, head, body, connection) -> {
            boolean reset = trouble && asked.incrementAndGet() % RESET_EVERY == 0;
            connection.getOutputStream().write("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(reset ? RESET_AFTER_MS : 5);
            if (reset) {
                Record.line("the server's connection is reset after the head of %s", uri);
                connection.setSoLinger(true, 0);
            } else {
                Record.line("the server answers %s", uri);
                connection.getOutputStream().write(("content of " + uri).getBytes(StandardCharsets.US_ASCII));
                connection.shutdownOutput();
            }
            connection.close();
            return null;
        });
        int port = Scheduler.freePort();
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", port);
        Path config = folder.resolve("objects.json");
        Gateway.write(config, "127.0.0.1:" + port, 1, Gateway.inline(Gateway.endpoint(node.port(), 0, "HEALTHY")), "");
        Scheduler gateway = new Scheduler("gateway", " --config " + config, Map.of(), folder);
        if (!gateway.awaitHttp(listen)) {
            throw new NotRunException("the gateway is not ready");
        }
        Thread.sleep(500);
        int served = 0;
        int truncated = 0;
        int errors = 0;
        int lost = 0;
        for (int i = 0; i < OBJECTS; i++) {
            String uri = "/crash-dumps/dump-" + i;
            try (Socket socket = new Socket()) {
                socket.connect(listen);
                socket.setSoTimeout(10_000);
                socket.getOutputStream().write(("GET " + uri + " HTTP/1.1\r\nHost: dumps\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                in.mark(1);
                if (in.read() < 0) {
                    Record.say("GET %s: LOST, the connection was closed without a byte of an answer", uri);
                    lost++;
                    continue;
                }
                in.reset();
                Http.Response response = Http.readResponse(in);
                Record.line("GET %s: %d, %d bytes", uri, response.status(), response.body().length);
                if (response.status() != 200) {
                    errors++;
                } else if (response.text().equals("content of " + uri)) {
                    served++;
                } else {
                    Record.say("GET %s: wrong content", uri);
                    lost++;
                }
            } catch (EOFException e) {
                Record.line("GET %s: the client can tell that the value is not whole", uri);
                truncated++;
            } catch (IOException e) {
                Record.say("GET %s: LOST, %s", uri, e);
                lost++;
            }
            Thread.sleep(50);
        }
        Record.say("served %d, failed %d, not whole %d, lost %d", served, errors, truncated, lost);
        return lost == 0;
    }
}
