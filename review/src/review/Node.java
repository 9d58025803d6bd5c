package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in storage node that serves the platform's protocol: so many commands at once, each for some milliseconds. */
class Node implements AutoCloseable {
    private final String name;
    private final Record record;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final AtomicInteger inflight = new AtomicInteger();
    private final int serviceMs;

    Node(String name, int slots, int serviceMs, Record record) throws IOException {
        this.name = name;
        this.record = record;
        this.slots = new Semaphore(slots, true);
        this.serviceMs = serviceMs;
        listener = new ServerSocket(0, 400, InetAddress.getByName("127.0.0.1"));
        Threads.start(name, () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start(name + " connection", () -> serve(socket));
            }
        });
    }

    String name() {
        return name;
    }

    int port() {
        return listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (List<byte[]> words; (words = Resp.readCommand(in)) != null;) {
                String verb = text(words.get(0));
                if (!verb.startsWith("OBJ.")) {
                    out.write((verb.equals("PING") ? "+PONG\r\n" : "-ERR\r\n").getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                inflight.incrementAndGet();
                try {
                    arrived(words);
                    slots.acquire();
                    try {
                        Thread.sleep(serviceMs);
                    } finally {
                        slots.release();
                    }
                    out.write(Resp.served(value(words), inflight.get()));
                } finally {
                    inflight.decrementAndGet();
                }
            }
        }
    }

    static String text(byte[] word) {
        return new String(word, StandardCharsets.ISO_8859_1);
    }

    /** A command has come whole. */
    void arrived(List<byte[]> words) throws Exception {
        record.add("%s: %s %s %s", name, text(words.get(0)), text(words.get(2)), text(words.get(3)));
    }

    /** The value made for a request: its id. */
    byte[] value(List<byte[]> words) {
        return ("value-" + text(words.get(2))).getBytes(StandardCharsets.US_ASCII);
    }

    @Override public void close() throws IOException {
        listener.close();
    }
}
