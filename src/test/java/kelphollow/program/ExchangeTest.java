package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Replays recorded exchanges against the program and compares byte for byte. Each line is a step:
 * <pre>
 * C&gt; bytes   the client sends           C&lt; bytes   the client receives exactly these
 * N&gt; bytes   the node sends             N&lt; bytes   the node receives exactly these
 * C close    the client closes          C end      the client's connection has been closed; likewise for N
 * T 250      advances the clock by this many milliseconds
 * W 250      advances the clock until the next step's peer has something to read, by at most this many ms
 * </pre>
 * {@code \r}, {@code \n} and {@code \\} are escapes; {@code \*N} repeats the preceding byte to a total of N. A line that
 * begins with blanks continues the previous one. C2 is a second client connection, N2 a second node connection.
 */
class ExchangeTest {
    private static final int GUARD_TIMEOUT_MS = 10_000;   // bounds a failing test; no check depends on waiting this long

    @TestFactory Stream<DynamicTest> platform() throws IOException {
        return files("resp").map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> play(f, true)));
    }

    @TestFactory Stream<DynamicTest> objects() throws IOException {
        return files("object").map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> play(f, false)));
    }

    private static Stream<Path> files(String kind) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("src/test/resources/exchanges/" + kind))) {
            List<Path> files = all.sorted().toList();
            assertFalse(files.isEmpty());
            return files.stream();
        }
    }

    private static void play(Path file, boolean platform) throws Exception {
        try (ServerSocket node = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            node.setSoTimeout(GUARD_TIMEOUT_MS);
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", node.getLocalPort());
            Map<String, Peer> sockets = new HashMap<>();
            try (ServerHarness harness = platform ? ServerHarness.resp(null, at) : ServerHarness.objects(oneShard(), at)) {
                int number = 0;
                List<String> steps = steps(file);
                for (String step : steps) {
                    number++;
                    String where = file.getFileName() + " step " + number + ": " + step;
                    String[] words = step.split(" ", 2);
                    if (words[0].equals("T")) {
                        harness.runFor(Integer.parseInt(words[1].strip()));
                        continue;
                    }
                    if (words[0].equals("W")) {
                        advanceUntilReadable(harness, sockets.get(peerOf(steps.get(number))), Integer.parseInt(words[1]
                            .strip()));
                        continue;
                    }
                    String peerName = peerOf(step);
                    if (!sockets.containsKey(peerName)) {
                        Socket socket = peerName.startsWith("N") ? node.accept()
                            : new Socket(harness.address.getAddress(), harness.address.getPort());
                        socket.setSoTimeout(GUARD_TIMEOUT_MS);
                        socket.setTcpNoDelay(true);
                        sockets.put(peerName, new Peer(socket, new PushbackInputStream(socket.getInputStream())));
                    }
                    runStep(sockets.get(peerName), words[0], words[1], where);
                }
            } finally {
                for (Peer peer : sockets.values()) {
                    peer.socket.close();
                }
            }
        }
    }

    private record Peer(Socket socket, PushbackInputStream in) {}

    private static String peerOf(String step) {
        return step.split(" ", 2)[0].replaceAll("[<>]", "");
    }

    /** Advances the clock 1 ms at a time until the peer can read, so that the clock does not outrun the sockets. */
    private static void advanceUntilReadable(ServerHarness harness, Peer peer, int maxMillis) throws IOException {
        peer.socket.setSoTimeout(1);
        for (int i = 0; i <= maxMillis; i++) {
            try {
                int next = peer.in.read();
                if (next >= 0) {
                    peer.in.unread(next);
                }
                break;
            } catch (SocketTimeoutException e) {
                harness.ticker.advance(1);
            } catch (java.net.SocketException reset) {
                break;
            }
        }
        peer.socket.setSoTimeout(GUARD_TIMEOUT_MS);
    }

    private static void runStep(Peer peer, String what, String rest, String where) throws IOException {
        if (rest.equals("close")) {
            peer.socket.close();
        } else if (rest.equals("end")) {
            int next;
            try {
                next = peer.in.read();
            } catch (java.net.SocketException reset) {
                next = -1;
            }
            assertEquals(-1, next, where);
        } else if (what.endsWith(">")) {
            peer.socket.getOutputStream().write(bytes(rest));
        } else {
            byte[] expected = bytes(rest);
            byte[] got = new byte[expected.length];
            int length = 0;
            try {
                for (int more; length < got.length && (more = peer.in.read(got, length, got.length - length)) >= 0;) {
                    length += more;
                }
            } catch (SocketTimeoutException e) {
                // the bytes received so far are compared
            }
            got = java.util.Arrays.copyOf(got, length);
            assertEquals(new String(expected, StandardCharsets.ISO_8859_1), new String(got, StandardCharsets.ISO_8859_1),
                where);
        }
    }

    private static Map<String, Object> oneShard() throws IOException {
        Map<String, Object> objects = ServerHarness.section(ServerHarness.example(), "objects");
        objects.put("shards", 1.0);
        return Map.of("objects", objects);
    }

    private static List<String> steps(Path file) throws IOException {
        String text = Files.readString(file).replaceAll("(?m)^#.*\\R", "").replaceAll("\\R[ ]+", "");
        return text.lines().filter(l -> !l.isBlank()).toList();
    }

    private static byte[] bytes(String text) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = text.charAt(++i);
            if (c == '*') {
                int end = i + 1;
                while (end < text.length() && Character.isDigit(text.charAt(end))) {
                    end++;
                }
                char last = out.charAt(out.length() - 1);
                out.append(String.valueOf(last).repeat(Integer.parseInt(text.substring(i + 1, end)) - 1));
                i = end - 1;
            } else {
                out.append(c == 'r' ? '\r' : c == 'n' ? '\n' : c);
            }
        }
        return out.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
