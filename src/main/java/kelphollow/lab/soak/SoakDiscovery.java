package kelphollow.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A stand-in discovery service for all instances of a run, from the platform's description: the whole list, changes since a
 * version, and calls that wait for news. Each instance has addresses of its own, so that its calls are known; behind them is
 * one service that works through calls that begin a watch in turn, turns them away while its queue is full, and can be down.
 * Where lists are pushed it plays the instances' agents: each call is served at once, and all are silent while it is down.
 */
final class SoakDiscovery implements AutoCloseable {
    /** A row of the list; {@code health} is ready, draining or gone. */
    record Row(String host, InetSocketAddress dial, int block, String health, long born) {
        String json() {
            return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + dial.getPort()
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":" + block + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + born + "}";
        }
    }

    /** Calls that wait longer for their turn than this, in milliseconds, are turned away; so is all while it is down. */
    private static final double TURN = 2_000;
    private static final int AT_ONCE = 1;
    private static final Pattern CALL = Pattern.compile("GET /catalog/members(?:\\?index=(\\d+)&wait=(\\d+))? .*");

    private final SoakHistory history;
    private final Random random;
    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final Map<String, Long> changedIn = new LinkedHashMap<>();
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Integer> cutting = ConcurrentHashMap.newKeySet();
    private final Map<Integer, Set<Socket>> silenced = new ConcurrentHashMap<>();
    private final Map<Integer, Set<Socket>> callsOf = new ConcurrentHashMap<>();
    /** The whole list of each version, and the newest version that was written to each instance. */
    private final Map<Long, String> lists = new HashMap<>();
    private final Map<Integer, Long> lastTold = new HashMap<>();
    private long version;
    private boolean down;
    private double downFrom;
    private double callsPerSecond = Double.POSITIVE_INFINITY;
    private double freeAt;
    private volatile boolean closed;

    SoakDiscovery(SoakHistory history, Random random) {
        this.history = history;
        this.random = random;
    }

    /** A further address of the service for this instance. */
    InetSocketAddress addressFor(int instance) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        listeners.add(listener);
        SoakThreads.start("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                open.add(socket);
                SoakThreads.start("discovery call", () -> serve(instance, socket));
            }
        });
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    // ---------------------------------------------------------------- what the run does to it

    /** Puts these rows into the list, as one version. */
    synchronized void change(List<Row> news) {
        version++;
        for (Row row : news) {
            rows.put(row.host(), row);
            changedIn.put(row.host(), version);
            history.add(new SoakHistory.Change(history.now(), version, row.host(), row.health().equals("ready")));
        }
        lists.put(version, list());
        notifyAll();
    }

    /** The whole list as this instance last had it: the first one, or what was last written to it. */
    synchronized String lastHad(int instance) {
        return lists.get(lastTold.getOrDefault(instance, 1L));
    }

    private String list() {
        return list(version, true, rows.values().stream().filter(r -> !r.health().equals("gone")).toList());
    }

    private static String list(long version, boolean whole, List<Row> rows) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":["
            + rows.stream().map(Row::json).collect(Collectors.joining(",")) + "]}";
    }

    /** Goes down: watches end, calls are turned away late or reset. */
    synchronized void goDown() {
        if (!down) {
            down = true;
            downFrom = history.now();
            notifyAll();
        }
    }

    /** Is back. */
    synchronized void comeBack() {
        if (down) {
            down = false;
            history.add(new SoakHistory.Outage(downFrom, history.now()));
            notifyAll();
        }
    }

    /** Works through so many calls a second that begin a watch; infinite: each at once. */
    synchronized void serve(double perSecond) {
        callsPerSecond = perSecond;
    }

    /** The calls of this instance that are open never hear anything any more; its next ones do. */
    void silence(int instance) {
        Set<Socket> calls = callsOf.getOrDefault(instance, Set.of());
        silenced.computeIfAbsent(instance, i -> ConcurrentHashMap.newKeySet()).addAll(calls);
        history.add(new SoakHistory.WatchSilent(history.now(), instance));
    }

    /** Answers to this instance break off half-way, or all of them come whole again. */
    void cut(int instance, boolean on) {
        if (on) {
            cutting.add(instance);
        } else {
            cutting.remove(instance);
        }
    }

    // ---------------------------------------------------------------- a call

    private void serve(int instance, Socket socket) throws Exception {
        Set<Socket> calls = callsOf.computeIfAbsent(instance, i -> ConcurrentHashMap.newKeySet());
        calls.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line; (line = call(in)) != null;) {
                Matcher call = CALL.matcher(line);
                if (!call.matches()) {
                    return;
                }
                boolean whole = call.group(1) == null;
                if (!answer(instance, socket, whole ? -1 : Long.parseLong(call.group(1)),
                    whole ? 0 : Integer.parseInt(call.group(2)))) {
                    return;
                }
            }
        } finally {
            calls.remove(socket);
            open.remove(socket);
        }
    }

    private static String call(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    /** Returns whether the connection goes on. */
    private boolean answer(int instance, Socket socket, long index, int wait) throws Exception {
        if (!history.pushed && (index < 0 || wait <= AT_ONCE)) {
            double turn = turn();
            if (turn > 0) {
                Thread.sleep((long) Math.min(turn, TURN));
            }
            if (turn > TURN || isDown()) {
                return refuse(socket);
            }
            if (turn < 0) {
                write(socket, "503 Service Unavailable", "");
                return true;
            }
        }
        String list;
        long upTo;
        synchronized (this) {
            double until = history.now() + wait;
            while (!closed && (down ? history.pushed : index == version && history.now() < until)) {
                wait((long) Math.max(1, until - history.now()));
            }
            if (down) {
                socket.setSoLinger(true, 0);
                return false;
            }
            upTo = version;
            List<Row> news = rows.values().stream().filter(r -> index < 0 ? !r.health().equals("gone")
                : changedIn.get(r.host()) > index).toList();
            list = list(version, index < 0, news);
        }
        if (silenced.getOrDefault(instance, Set.of()).contains(socket)) {
            return socket.getInputStream().read() >= 0;      // until the instance gives it up
        }
        if (cutting.contains(instance)) {
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                + list.substring(0, list.length() / 2)).getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        synchronized (this) {
            lastTold.merge(instance, upTo, Math::max);
        }
        history.add(new SoakHistory.Told(history.now(), instance, upTo));
        write(socket, "200 OK", list);
        return true;
    }

    private synchronized boolean isDown() {
        return down;
    }

    /** How long a call waits for its turn; below 0: the queue is full. */
    private synchronized double turn() {
        if (down) {
            return TURN;
        }
        double now = history.now();
        freeAt = Math.max(freeAt, now);
        double waits = freeAt - now;
        if (waits > 2 * TURN) {
            return -1;
        }
        freeAt += 1_000 / callsPerSecond;
        return waits;
    }

    private boolean refuse(Socket socket) throws IOException {
        if (random.nextInt(3) == 0) {
            socket.setSoLinger(true, 0);
            return false;
        }
        write(socket, "503 Service Unavailable", "");
        return true;
    }

    private static void write(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.US_ASCII));
    }

    @Override public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        for (ServerSocket listener : listeners) {
            listener.close();
        }
        for (Socket socket : List.copyOf(Collections.unmodifiableSet(open))) {
            socket.close();
        }
    }
}
