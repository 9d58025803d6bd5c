package kelphollow.lab.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake storage node on the platform's protocol, which notes each command's first byte and can be made to fail. Safe from
 * any thread.
 */
final class SoakNode implements AutoCloseable {
    /** What becomes of the commands that come. */
    enum Mode {
        /** They are served. */
        SERVES,
        /** Nothing: the connection stays open. */
        HANGS,
        /** Their connection is reset. */
        RESETS,
        /** They fail. */
        FAILS,
        /** They are rejected before they run. */
        REJECTS,
        /** They are served, with a pause within each reply. */
        SERVES_IN_SEGMENTS
    }

    private static final Pattern TIME_LEFT = Pattern.compile("(?:^|,)d=([0-9.]+)");
    /** Places of the id and the fields among a command's words. */
    private static final int ID = 2;
    private static final int FIELDS = 3;
    private static final int BACKLOG = 200;
    private static final int MIN_SERVICE_MS = 3;
    private static final int SERVICE_SPREAD_MS = 25;

    private final String name;
    private final int cell;
    private final SoakHistory history;
    private final Random random;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private volatile Mode mode = Mode.SERVES;

    SoakNode(String name, int cell, SoakHistory history, Random random) throws IOException {
        this.name = name;
        this.cell = cell;
        this.history = history;
        this.random = random;
        start();
    }

    /** Listens, at a new address each time. */
    void start() throws IOException {
        ServerSocket own = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        listener = own;
        SoakThreads.start(name, () -> {
            while (true) {
                Socket socket = own.accept();
                open.add(socket);
                SoakThreads.start(name + " connection", () -> serve(socket));
            }
        });
    }

    String name() {
        return name;
    }

    /** The cell that it holds. */
    int cell() {
        return cell;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    void mode(Mode next) {
        mode = next;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int first; (first = in.read()) >= 0;) {
                double at = history.now();
                String[] words = command(first, in);
                Mode now = mode;
                Matcher timeLeft = TIME_LEFT.matcher(words.length > FIELDS ? words[FIELDS] : "");
                history.add(new SoakHistory.AttemptArrived(at, name, words[ID],
                    timeLeft.find() ? Double.parseDouble(timeLeft.group(1)) : 0, now != Mode.REJECTS));
                if (!answer(socket, in, now)) {
                    return;
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Returns whether the connection goes on. */
    private boolean answer(Socket socket, InputStream in, Mode now) throws IOException, InterruptedException {
        Thread.sleep(MIN_SERVICE_MS + random.nextInt(SERVICE_SPREAD_MS));
        switch (now) {
            case HANGS -> {
                in.read();                 // until the attempt is given up
                return false;
            }
            case RESETS -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case FAILS -> write(socket, "-ERR failed\r\n");
            case REJECTS -> write(socket, "-BUSY\r\n");
            case SERVES_IN_SEGMENTS -> {
                write(socket, "*3\r\n$2\r\no");
                Thread.sleep(SERVICE_SPREAD_MS);
                write(socket, "k\r\n$-1\r\n$-1\r\n");
            }
            case SERVES -> write(socket, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        }
        return true;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** A command's words; its first byte has been read. */
    private static String[] command(int first, InputStream in) throws IOException {
        if (first != '*') {
            throw new EOFException("not a command: " + first);
        }
        String[] words = new String[Integer.parseInt(line(in))];
        for (int i = 0; i < words.length; i++) {
            in.read();                     // the dollar sign
            int length = Integer.parseInt(line(in));
            byte[] word = in.readNBytes(length);
            if (word.length < length) {
                throw new EOFException("a truncated command");
            }
            words[i] = new String(word, StandardCharsets.ISO_8859_1);
            in.skipNBytes(2);
        }
        return words;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next; (next = in.read()) != '\n';) {
            if (next < 0) {
                throw new EOFException("a truncated line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** The process dies: its connections are reset and new ones refused, until {@link #start}. */
    @Override public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
