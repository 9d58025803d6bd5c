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

/** A stand-in storage node on the platform's protocol, which notes each command's first byte and can be made to fail. */
final class SoakNode implements AutoCloseable {
    /** What becomes of the commands that come. */
    enum Mode {
        SERVES, HANGS, RESETS, ANSWERS_ERRORS, TURNS_AWAY, ANSWERS_IN_HALVES
    }

    private static final Pattern WAIT = Pattern.compile("(?:^|,)d=([0-9.]+)");
    private static final int SHORTEST = 3;
    private static final int SPREAD = 25;

    final String name;
    final int block;
    private final SoakHistory history;
    private final Random random;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private volatile Mode mode = Mode.SERVES;

    SoakNode(String name, int block, SoakHistory history, Random random) throws IOException {
        this.name = name;
        this.block = block;
        this.history = history;
        this.random = random;
        start();
    }

    /** Listens, at a new address each time. */
    void start() throws IOException {
        ServerSocket own = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        listener = own;
        SoakThreads.start(name, () -> {
            while (true) {
                Socket socket = own.accept();
                open.add(socket);
                SoakThreads.start(name + " connection", () -> serve(socket));
            }
        });
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    void mode(Mode next) {
        mode = next;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int first; (first = in.read()) >= 0;) {
                double at = history.now();
                String[] words = command(first, in);
                Mode now = mode;
                Matcher wait = WAIT.matcher(words.length > 3 ? words[3] : "");
                history.add(new SoakHistory.Arrived(at, name, words[2], wait.find() ? Double.parseDouble(wait.group(1)) : 0,
                    now != Mode.TURNS_AWAY));
                if (!answer(socket, in, now)) {
                    return;
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Returns whether the connection goes on. */
    private boolean answer(Socket socket, InputStream in, Mode now) throws Exception {
        Thread.sleep(SHORTEST + random.nextInt(SPREAD));
        switch (now) {
            case HANGS -> {
                in.read();                 // until the attempt is given up
                return false;
            }
            case RESETS -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case ANSWERS_ERRORS -> write(socket, "-ERR failed\r\n");
            case TURNS_AWAY -> write(socket, "-BUSY\r\n");
            case ANSWERS_IN_HALVES -> {
                write(socket, "*3\r\n$2\r\no");
                Thread.sleep(SPREAD);
                write(socket, "k\r\n$-1\r\n$-1\r\n");
            }
            default -> write(socket, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
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
                throw new EOFException("half a command");
            }
            words[i] = new String(word, StandardCharsets.ISO_8859_1);
            in.skipNBytes(2);
        }
        return words;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n';) {
            if (c < 0) {
                throw new EOFException("half a line");
            }
            if (c != '\r') {
                line.append((char) c);
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
