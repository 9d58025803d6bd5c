package kelphollow.lab.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake storage node that serves the platform's protocol, records the arrival of each command's first byte and can be made
 * to fail. Thread-safe.
 */
final class SoakNode implements AutoCloseable {
    /** How the node responds to commands. */
    enum Mode {
        /** Serves them. */
        SERVES,
        /** Does not answer; the connection stays open. */
        HANGS,
        /** Resets their connection. */
        RESETS,
        /** Answers with an error. */
        FAILS,
        /** Rejects them before they run. */
        REJECTS,
        /** Rejects them before they run, after a while in its queue. */
        REJECTS_LATE,
        /** Serves them, with a pause within each reply. */
        SERVES_IN_SEGMENTS;

        private boolean rejects() {
            return this == REJECTS || this == REJECTS_LATE;
        }
    }

    private static final Pattern TIME_LEFT = Pattern.compile("(?:^|,)d=([0-9.]+)");
    /** Positions of the object, the id and the fields among a command's words. */
    private static final int OBJECT = 1;
    private static final int ID = 2;
    private static final int FIELDS = 3;
    private static final int BACKLOG = 200;
    private static final int MIN_SERVICE_MS = 3;
    private static final int SERVICE_SPREAD_MS = 25;
    private static final int QUEUED_MS = 500;

    private final String name;
    private final int cell;
    private final SoakHistory history;
    private final Random random;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final InetAddress loopback;
    private ServerSocket listener;
    private volatile Mode mode = Mode.SERVES;

    SoakNode(String name, int cell, SoakHistory history, Random random) throws IOException {
        this.loopback = LoopbackAddress.next();
        this.name = name;
        this.cell = cell;
        this.history = history;
        this.random = random;
        start();
    }

    /** Listens on a new port each time. */
    void start() throws IOException {
        ServerSocket newListener = new ServerSocket(0, BACKLOG, loopback);
        listener = newListener;
        SoakThreads.start(name, () -> {
            while (true) {
                Socket socket = newListener.accept();
                openSockets.add(socket);
                SoakThreads.start(name + " connection", () -> serve(socket));
            }
        });
    }

    String name() {
        return name;
    }

    /** The cell that the node holds. */
    int cell() {
        return cell;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    void setMode(Mode next) {
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
                    timeLeft.find() ? Double.parseDouble(timeLeft.group(1)) : 0, !now.rejects()));
                if (!answer(socket, in, now, words)) {
                    return;
                }
            }
        } finally {
            openSockets.remove(socket);
        }
    }

    /** Answers a command and returns whether the connection stays open. */
    private boolean answer(Socket socket, InputStream in, Mode now, String[] words)
        throws IOException, InterruptedException {
        Thread.sleep(MIN_SERVICE_MS + random.nextInt(SERVICE_SPREAD_MS));
        switch (now) {
            case HANGS -> {
                in.read();                 // until the caller closes the connection
                return false;
            }
            case RESETS -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case FAILS -> write(socket, "-ERR failed\r\n");
            case REJECTS -> write(socket, "-BUSY\r\n");
            case REJECTS_LATE -> {
                Thread.sleep(QUEUED_MS);
                write(socket, "-BUSY\r\n");
            }
            case SERVES_IN_SEGMENTS -> {
                if (serveLongValue(socket, words)) {
                    return true;
                }
                write(socket, "*3\r\n$2\r\no");
                Thread.sleep(SERVICE_SPREAD_MS);
                write(socket, "k\r\n$-1\r\n$-1\r\n");
            }
            case SERVES -> {
                if (!serveLongValue(socket, words)) {
                    write(socket, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
                }
            }
        }
        return true;
    }

    /** Serves a long value at its pace; returns false if another object is requested. */
    private boolean serveLongValue(Socket socket, String[] words) throws IOException, InterruptedException {
        Optional<LongValue> value = LongValue.parse(words[OBJECT]);
        if (value.isEmpty()) {
            return false;
        }
        try {
            value.get().write(socket.getOutputStream());
        } catch (IOException e) {
            history.add(new SoakHistory.ValueCut(history.now(), name, words[ID], socket.isClosed()));
            throw e;
        }
        return true;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the words of a command whose first byte has been read. */
    private static String[] command(int first, InputStream in) throws IOException {
        if (first != '*') {
            throw new EOFException("a command must begin with '*', found byte " + first);
        }
        String[] words = new String[Integer.parseInt(line(in))];
        for (int i = 0; i < words.length; i++) {
            in.read();                     // the dollar sign
            int length = Integer.parseInt(line(in));
            byte[] word = in.readNBytes(length);
            if (word.length < length) {
                throw new EOFException("connection ended within a command");
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
                throw new EOFException("connection ended within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Simulates the death of the process: resets its connections and refuses new ones until {@link #start}. */
    @Override public void close() throws IOException {
        listener.close();
        for (Socket socket : openSockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException e) {
                continue;                  // its thread has closed it meanwhile
            }
            socket.close();
        }
    }
}
