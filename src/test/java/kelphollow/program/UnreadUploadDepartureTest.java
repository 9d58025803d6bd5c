package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import kelphollow.program.FakeObjectServer.Fault.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against forwarding requests of the object API whose client has closed its connection behind unread input. */
@Timeout(60)
class UnreadUploadDepartureTest {
    /** As many requests as the gateway has in flight at one node at first. */
    private static final int CLIENTS = 3;
    /** More than is read ahead with the deploy file's heap. */
    private static final int UPLOAD_BYTES = 12 * 1024 * 1024;
    private static final int PIPELINED = 60_000;
    private static final int SENDING_MS = 80;
    private static final int LEFT_MS = 130;
    private static final int WATCHED_MS = 1_500;
    @TempDir
    Path folder;

    private Path configure(FakeObjectServer node) throws IOException {
        String text = Files.readString(Path.of("deploy/objects.json"))
            .replaceAll("\"listen\": *\"[^\"]*\"", "\"listen\":\"127.0.0.1:0\"").replace("\"shards\": 2", "\"shards\": 1")
            .replace("9101", Integer.toString(node.address().getPort())).replaceFirst("\"HEALTHY\"", "\"FIRST\"")
            .replace("\"HEALTHY\"", "\"DRAINING\"").replace("\"FIRST\"", "\"HEALTHY\"")
            .replace("\"shard\": 1", "\"shard\": 0");
        return Files.writeString(folder.resolve("o.json"), text);
    }

    /** The clients leave while the node has their requests in its queue; then it rejects them. Returns what came then. */
    private List<String> forwardedLate(String requests) throws Exception {
        CountDownLatch rejects = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        try (FakeObjectServer node = new FakeObjectServer()) {
            Path file = configure(node);
            for (int i = 0; i < CLIENTS; i++) {
                node.faults.add(new FakeObjectServer.Fault("", Kind.REFUSE_LATE, 0, rejects));
            }
            try (SmallProcess gateway = new SmallProcess(folder, file, "--config", file.toString())) {
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(new Socket(gateway.address.getAddress(), gateway.address.getPort()));
                    send(clients.get(i), requests);
                    node.held.take();
                }
                Thread.sleep(SENDING_MS);
                for (Socket client : clients) {
                    client.close();
                }
                Thread.sleep(LEFT_MS);
                node.seen.clear();
                rejects.countDown();
                Thread.sleep(WATCHED_MS);
            }
            return List.copyOf(node.seen);
        }
    }

    private static void send(Socket client, String text) {
        Thread sender = new Thread(() -> {
            try {
                client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // closed while it sends
            }
        });
        sender.setDaemon(true);
        sender.start();
    }

    @Test void anUploadIsNotForwardedOnceItsClientLeftBehindItsBody() throws Exception {
        assertEquals(List.of(), forwardedLate("PUT /symbols/left HTTP/1.1\r\nHost: h\r\nContent-Length: " + UPLOAD_BYTES
            + "\r\n\r\n" + "x".repeat(UPLOAD_BYTES)));
    }

    @Test void aRequestIsNotForwardedOnceItsClientLeftBehindPipelinedOnes() throws Exception {
        assertEquals(List.of(), forwardedLate("GET /symbols/left HTTP/1.1\r\nHost: h\r\n\r\n".repeat(PIPELINED)));
    }
}
