package kelphollow.program;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import kelphollow.program.FakeObjectStore.Request;
import kelphollow.program.FakeObjectStore.Response;
import kelphollow.program.FakeObjectStore.Stored;

/** An object server on the loopback, by S3's public description, that can be made to fail at any point of a request. */
final class FakeObjectServer implements AutoCloseable {
    /** The fault injected into the next request whose request line starts with {@code line}. */
    record Fault(String line, Kind kind, int after, CountDownLatch gate) {
        enum Kind { CUT, CRASH_BEFORE, CRASH_AFTER, HOLD, REFUSE, REFUSE_LATE }

        static Fault of(String line, Kind kind) {
            return new Fault(line, kind, 0, new CountDownLatch(1));
        }
    }

    private final FakeObjectStore store = new FakeObjectStore();
    final Map<String, Stored> objects = store.objects;
    final Map<String, TreeMap<Integer, Stored>> uploads = store.uploads;
    /** How often each part was stored, by upload id and part number. */
    final Map<String, Integer> partWrites = store.partWrites;
    final Map<String, Integer> objectWrites = store.objectWrites;
    final ConcurrentLinkedDeque<Fault> faults = new ConcurrentLinkedDeque<>();
    /** Request lines with their Range and If-Match headers, in order of arrival. */
    final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    /** Request lines of completely received requests whose processing is held. */
    final BlockingQueue<String> held = new LinkedBlockingQueue<>();
    /** Runs before the connection of a truncated response is closed. */
    volatile Runnable afterCut = () -> {};
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private volatile boolean closed;

    FakeObjectServer() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                if (closed) {
                    socket.close();        // the kernel may accept one more while the listener is being closed
                } else {
                    thread(() -> serve(socket));
                }
            }
        });
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the connection or the server is closed
            } catch (Exception e) {
                throw new IllegalStateException(e);   // a bug of this fake: make it visible
            }
        }, "object-server");
        thread.setDaemon(true);
        thread.start();
    }

    static String md5(byte[] bytes) {
        return FakeObjectStore.md5(bytes);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line; (line = line(in)) != null && !line.isEmpty();) {
                if (!serve(line, in, out)) {
                    return;
                }
            }
        }
    }

    /** Serves one request; returns false if its connection must be closed. */
    private boolean serve(String line, InputStream in, OutputStream out) throws IOException, InterruptedException {
        Map<String, String> headers = headers(in);
        seen.add(line + (headers.containsKey("Range") ? " " + headers.get("Range") : "")
            + (headers.containsKey("If-Match") ? " " + headers.get("If-Match") : ""));
        Fault fault = faults.stream().filter(next -> line.startsWith(next.line)).findFirst().orElse(null);
        if (fault != null) {
            faults.remove(fault);
        }
        Fault.Kind kind = fault == null ? null : fault.kind;
        if (kind == Fault.Kind.REFUSE_LATE) {
            held.add(line);
            fault.gate.await();
        }
        if (kind == Fault.Kind.REFUSE || kind == Fault.Kind.REFUSE_LATE) {
            write(out, new Response("503 Slow Down", "", new byte[0]), 0);
            return true;
        }
        if ("100-continue".equalsIgnoreCase(headers.get("Expect"))) {
            out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length || kind == Fault.Kind.CRASH_BEFORE) {
            return false;
        }
        if (kind == Fault.Kind.HOLD) {
            held.add(line);
            fault.gate.await();
        }
        String[] words = line.split(" ");
        synchronized (this) {
            Response response = store.answer(new Request(words[0], words[1], headers, body));
            return kind != Fault.Kind.CRASH_AFTER && answer(words[0], response, kind == Fault.Kind.CUT ? fault : null, out);
        }
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header; !(header = line(in)).isEmpty();) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
        }
        return headers;
    }

    /** Writes a response, truncated if {@code cut} is given; returns false if its connection must be closed. */
    private boolean answer(String method, Response response, Fault cut, OutputStream out) throws IOException {
        if (method.equals("HEAD")) {
            write(out, response, 0);
        } else {
            write(out, response, cut == null ? response.body().length : cut.after);
        }
        if (cut != null) {
            afterCut.run();
        }
        return cut == null;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next; (next = in.read()) >= 0;) {
            if (next == '\n') {
                return line.toString().strip();
            }
            line.append((char) next);
        }
        return null;
    }

    private static void write(OutputStream out, Response response, int bodyBytes) throws IOException {
        String head = "HTTP/1.1 " + response.status() + "\r\n" + response.headers() + "Content-Length: "
            + response.body().length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.write(response.body(), 0, bodyBytes);
    }

    /** Simulates the death of the process: closes all connections and refuses new ones. */
    @Override public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
