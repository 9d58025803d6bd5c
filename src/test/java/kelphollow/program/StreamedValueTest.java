package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.PlatformDependent;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Values that are too long to be buffered, with slow clients and nodes. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StreamedValueTest {
    private static final int VALUE_BYTES = 4 * 1024 * 1024;

    private static byte[] get(String id) {
        return ("*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$1\r\n" + id + "\r\n$60\r\n"
            + "c=dump-read,t=padrao,d=1200,volume=v,units=2,shard=0,hosts=1\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static Socket client(ServerHarness harness) throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(16 * 1024);
        socket.setSoTimeout(10_000);           // bounds a failing test
        socket.connect(harness.address);
        return socket;
    }

    /** Answers one request on the connection; counts the bytes written so far, and -1 once the connection has ended. */
    private static void node(Socket socket, byte[] answer, AtomicLong written) {
        Thread thread = new Thread(() -> {
            try (socket) {
                socket.getInputStream().readNBytes(get("i").length);
                OutputStream out = socket.getOutputStream();
                for (int at = 0; at < answer.length; at += 8_192) {
                    int piece = Math.min(8_192, answer.length - at);
                    out.write(answer, at, piece);
                    written.addAndGet(piece);
                }
                socket.getInputStream().read();
                written.set(-1);               // the connection has ended
            } catch (java.io.IOException e) {
                written.set(-1);               // or was reset
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static byte[] answer() {
        byte[] head = ("*3\r\n$" + VALUE_BYTES + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] tail = "\r\n$6\r\ncost=1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);
        byte[] all = Arrays.copyOf(head, head.length + VALUE_BYTES + tail.length);
        Arrays.fill(all, head.length, head.length + VALUE_BYTES, (byte) 'v');
        System.arraycopy(tail, 0, all, head.length + VALUE_BYTES, tail.length);
        return all;
    }

    @Test void aClientThatDoesNotReadStallsNodesWithoutBufferingTheirValues() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
             ServerHarness harness = ServerHarness.resp(null, (InetSocketAddress) listener.getLocalSocketAddress());
             Socket slow = client(harness)) {
            long before = PlatformDependent.usedDirectMemory();
            int values = 3;                    // more than the kernel's buffers hold, the most that may be in flight
            List<AtomicLong> written = new ArrayList<>();
            List<Socket> nodes = new ArrayList<>();
            for (int i = 0; i < values; i++) {
                slow.getOutputStream().write(get("" + i));
                nodes.add(listener.accept());  // before any value streams: a client that does not read is not read from
            }
            for (Socket node : nodes) {
                AtomicLong sent = new AtomicLong();
                written.add(sent);
                node(node, answer(), sent);
            }
            awaitStandstill(written, harness);
            long direct = PlatformDependent.usedDirectMemory() - before;
            assertTrue(direct < 3 * 1024 * 1024, direct + " bytes of direct memory for " + values + " values of 4 MiB");
            try (Socket other = client(harness)) {
                other.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals("+PONG\r\n", new String(other.getInputStream().readNBytes(7), StandardCharsets.US_ASCII));
            }
            harness.ticker.advance(9_000);       // a client may take seconds to read on
            for (int i = 0; i < values; i++) {
                InputStream in = slow.getInputStream();
                assertEquals("$" + VALUE_BYTES + "\r\n", new String(in.readNBytes(10), StandardCharsets.US_ASCII));
                byte[] expected = new byte[VALUE_BYTES];
                Arrays.fill(expected, (byte) 'v');
                assertArrayEquals(expected, in.readNBytes(VALUE_BYTES));
                assertEquals("\r\n", new String(in.readNBytes(2), StandardCharsets.US_ASCII));
            }
        }
    }

    /**
     * Waits until all buffers on the path are full: no node has written for 100 polls of 5 ms with a loop iteration in each,
     * and each node has written four times the bytes that must arrive before a value starts to stream.
     */
    private static void awaitStandstill(List<AtomicLong> written, ServerHarness harness) throws InterruptedException {
        long last = -1;
        for (int same = 0; same < 100;) {
            long now = written.stream().mapToLong(AtomicLong::get).sum();
            ServerHarness.runLoopOnce(harness.loop);
            boolean streams = written.stream().allMatch(bytes -> bytes.get() > VALUE_BYTES / 16);
            same = streams && now == last ? same + 1 : 0;
            last = now;
            Thread.sleep(5);
        }
    }

    @Test void aValueInterruptedBeforeAnyByteWasForwardedIsRequestedAgain() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
             ServerHarness harness = ServerHarness.resp(null, (InetSocketAddress) listener.getLocalSocketAddress());
             Socket client = client(harness)) {
            client.getOutputStream().write(get("i"));
            try (Socket node = listener.accept()) {
                node.getInputStream().readNBytes(get("i").length);
                node.getOutputStream().write(("*3\r\n$" + VALUE_BYTES + "\r\nvvvv").getBytes(StandardCharsets.US_ASCII));
            }
            listener.setSoTimeout(1);
            Socket second = null;
            while (second == null) {           // advance the clock until the value is requested again
                try {
                    second = listener.accept();
                } catch (java.net.SocketTimeoutException e) {
                    harness.ticker.advance(1);
                }
            }
            try (Socket node = second) {
                node.getInputStream().readNBytes(get("i").length - 5);
                node.getOutputStream().write("*3\r\n$3\r\nnew\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals("$3\r\nnew\r\n", new String(client.getInputStream().readNBytes(9), StandardCharsets.US_ASCII));
            }
        }
    }

    @Test void aClientThatReadsNothingForTenSecondsIsClosedWithItsNodeConnection() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
             ServerHarness harness = ServerHarness.resp(null, (InetSocketAddress) listener.getLocalSocketAddress());
             Socket slow = client(harness)) {
            AtomicLong written = new AtomicLong();
            slow.getOutputStream().write(get("i"));
            node(listener.accept(), answer(), written);
            awaitStandstill(List.of(written), harness);
            harness.ticker.advance(13_000);
            while (written.get() >= 0) {
                Thread.sleep(5);
            }
            byte[] got = slow.getInputStream().readAllBytes();
            assertTrue(got.length < VALUE_BYTES, "the client sees a truncated value");
        }
    }

    @Test void aClientThatDisconnectsMidValueLeaksNoMemory() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
             ServerHarness harness = ServerHarness.resp(null, (InetSocketAddress) listener.getLocalSocketAddress())) {
            long before = PlatformDependent.usedDirectMemory();
            AtomicLong written = new AtomicLong();
            try (Socket client = client(harness)) {
                client.getOutputStream().write(get("i"));
                node(listener.accept(), answer(), written);
                client.getInputStream().readNBytes(70_000);
            }
            while (written.get() >= 0) {
                Thread.sleep(5);               // until the node sees its connection closed
            }
            assertTrue(PlatformDependent.usedDirectMemory() - before < 1024 * 1024, "direct memory");
        }
    }
}
