package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that fill the memory of a process that has as little of it as the deploy file gives. Guards against an event loop
 * that waits for memory, during which no other client is answered.
 */
@Timeout(60)
class ClientMemoryTest {
    private static final int CLIENTS = 250;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int MISSING_BYTES = 500;
    private static final int UPLOAD_BYTES = 400_000;
    private static final int COMMANDS_AT_ONCE = 40;
    private static final int FLOODING_CLIENTS = 60;
    private static final int CROWD = 450;
    private static final int SHORT_FIELDS = 4_000;
    private static final int WATCHED_MS = 4_000;
    /** Half a second after its time a request without an answer is lost. */
    private static final double LOST_AFTER_MS = 500;

    @TempDir
    Path folder;

    /** A command whose body has the greatest length that the protocol allows. */
    private static String put(String id) {
        String values = "c=dump-write,t=padrao,d=3000,volume=v,units=1,shard=0,hosts=1";
        return "*5\r\n$7\r\nOBJ.PUT\r\n$1\r\np\r\n$" + id.length() + "\r\n" + id + "\r\n$" + values.length() + "\r\n"
            + values
            + "\r\n$" + BODY_BYTES + "\r\n" + "x".repeat(BODY_BYTES) + "\r\n";
    }

    private SmallProcess startPlatform() throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\","
            + "\"discovery\":\"127.0.0.1:1\",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},"
            + "\"settings\":" + StartupTest.settings() + "}");
        return new SmallProcess(folder, file);
    }

    /** Starts a gateway of the object API whose nodes take nothing new, so that all requests wait. */
    private SmallProcess startGateway() throws Exception {
        String example = Files.readString(Path.of("deploy/objects.json"));
        Path file = Files.writeString(folder.resolve("o.json"), example.replace("\"HEALTHY\"", "\"DRAINING\"")
            .replaceAll("\"listen\": *\"[^\"]*\"", "\"listen\":\"127.0.0.1:0\""));
        return new SmallProcess(folder, file, "--config", file.toString());
    }

    /** Sends what each client sends, all at once, and returns how long the slowest of another client's pings took. */
    private static double longestPing(SmallProcess started, Ping ping, int clients, IntFunction<String> sends)
        throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (SmallProcess program = started) {
            InetSocketAddress address = program.address;
            Socket usual = new Socket(address.getAddress(), address.getPort());
            sockets.add(usual);
            for (int i = 0; i < clients; i++) {
                Socket socket = new Socket(address.getAddress(), address.getPort());
                sockets.add(socket);
                send(socket, sends.apply(i));
            }
            double longest = 0;
            for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WATCHED_MS); System.nanoTime() < end;) {
                longest = Math.max(longest, ping.time(usual));
                Thread.sleep(20);
            }
            assertTrue(program.isAlive());
            return longest;
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Sends in a thread of its own, which ends at the latest when the socket is closed; reads nothing. */
    private static void send(Socket socket, String text) {
        Thread sender = new Thread(() -> {
            try {
                socket.getOutputStream().write(text.getBytes());
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // The program may close the connection at any time.
            }
        });
        sender.setDaemon(true);
        sender.start();
    }

    /** A small request and how its response begins. */
    private record Ping(String request, String response) {
        private static final Ping PLATFORM = new Ping("*1\r\n$4\r\nPING\r\n", "+PONG\r\n");
        private static final Ping OBJECTS = new Ping("HEAD /nobody/a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404 ");

        /** Sends the request and returns the milliseconds until its response. */
        double time(Socket client) throws IOException {
            long sentAt = System.nanoTime();
            client.getOutputStream().write(request.getBytes());
            assertEquals(response, new String(client.getInputStream().readNBytes(response.length())));
            double took = (System.nanoTime() - sentAt) / 1e6;
            client.getInputStream().skip(client.getInputStream().available());
            return took;
        }
    }

    /** Before the fix the event loop stood still for 2 to 5 s: incomplete commands had used up the direct memory. */
    @Test void clientsThatStopWithinALongCommandDoNotHoldUpOthers() throws Exception {
        double longest = longestPing(startPlatform(), Ping.PLATFORM, CLIENTS,
            i -> put("half" + i).substring(0, put("half" + i).length() - MISSING_BYTES));
        assertTrue(longest < LOST_AFTER_MS, "longest PING " + longest + " ms");
    }

    /** Uploads that wait for a node hold their bodies, as far as they were read ahead. */
    @Test void clientsWhoseLongUploadsWaitDoNotHoldUpOthers() throws Exception {
        double longest = longestPing(startGateway(), Ping.OBJECTS, CLIENTS, i -> "PUT /crash-dumps/" + i
            + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + UPLOAD_BYTES + "\r\n\r\n" + "x".repeat(UPLOAD_BYTES));
        assertTrue(longest < LOST_AFTER_MS, "longest request " + longest + " ms");
    }

    /** Each short field of a head occupies many times its length: before the fix the heap was used up. */
    @Test void clientsThatSendHeadsOfVeryManyShortFieldsDoNotHoldUpOthers() throws Exception {
        String fields = "a:\r\n".repeat(SHORT_FIELDS);
        double longest = longestPing(startGateway(), Ping.OBJECTS, CROWD, i -> "GET /crash-dumps/" + i
            + " HTTP/1.1\r\nHost: h\r\n" + fields);
        assertTrue(longest < LOST_AFTER_MS, "longest request " + longest + " ms");
    }

    /** Complete commands hold memory until their reply: those that do not fit are rejected. */
    @Test void clientsThatSendManyLongCommandsAtOnceDoNotHoldUpOthers() throws Exception {
        double longest = longestPing(startPlatform(), Ping.PLATFORM, FLOODING_CLIENTS, i -> {
            StringBuilder commands = new StringBuilder();
            for (int command = 0; command < COMMANDS_AT_ONCE; command++) {
                commands.append(put("flood" + i + "-" + command));
            }
            return commands.toString();
        });
        assertTrue(longest < LOST_AFTER_MS, "longest PING " + longest + " ms");
    }
}
