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
 * A fake discovery service for all instances of a run, from the platform's description: the complete list, changes since a
 * version, and calls that wait for changes. Each instance has addresses of its own, so that its calls are known; behind them
 * is one service that works through calls that begin a watch in turn, rejects them while its queue is full, and can be down.
 * Where lists are pushed it plays the instances' agents: each call is served at once, and all are silent while it is down.
 * Safe from any thread.
 */
final class SoakDiscovery implements AutoCloseable {
    /** Whether a node may get new requests, with its word in the list. */
    enum Health {
        READY("ready"), DRAINING("draining"), REMOVED("gone");

        private final String word;

        Health(String word) {
            this.word = word;
        }
    }

    /** A node of the list; {@code startedAt} in Unix milliseconds, 0 if it is long ago. */
    record ListedNode(String name, InetSocketAddress address, int cell, Health health, long startedAt) {
        static ListedNode of(SoakNode node, Health health, long startedAt) {
            return new ListedNode(node.name(), node.address(), node.cell(), health, startedAt);
        }

        String json() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + address.getPort()
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":" + cell + ",\"health\":\"" + health.word
                + "\",\"share\":1.0,\"born_ms\":" + startedAt + "}";
        }
    }

    /**
     * A call: changes since this version, or the complete list; answered after {@code patience} milliseconds at the
     * latest.
     */
    private record Call(long sinceVersion, int patience) {
        static final long COMPLETE = -1;

        boolean isForCompleteList() {
            return sinceVersion < 0;
        }

        /** Whether it is one of the calls that begin a watch, which are worked through in turn. */
        boolean beginsWatch() {
            return isForCompleteList() || patience <= AT_ONCE_MS;
        }
    }

    /** A list as it goes into a response, and the version up to which it is complete. */
    private record Response(String list, long version) {}

    /** Calls that wait longer for their turn than this, in milliseconds, are rejected; so are all while it is down. */
    private static final double MAX_TURN = 2_000;
    private static final int AT_ONCE_MS = 1;
    private static final double QUEUE_FULL = -1;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int RESET_ONE_OF = 3;
    private static final long FIRST_VERSION = 1;
    private static final String UNAVAILABLE = "503 Service Unavailable";
    private static final Pattern CALL = Pattern.compile("GET /catalog/members(?:\\?index=(\\d+)&wait=(\\d+))? .*");

    private final SoakHistory history;
    private final Random random;
    private final Map<String, ListedNode> nodes = new LinkedHashMap<>();
    private final Map<String, Long> changedIn = new LinkedHashMap<>();
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Integer> truncating = ConcurrentHashMap.newKeySet();
    private final Map<Integer, Set<Socket>> silenced = new ConcurrentHashMap<>();
    private final Map<Integer, Set<Socket>> callsOf = new ConcurrentHashMap<>();
    /** The complete list of each version, and the newest version that was written to each instance. */
    private final Map<Long, String> lists = new HashMap<>();
    private final Map<Integer, Long> lastWritten = new HashMap<>();
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

    /** Puts these nodes into the list, as one version. */
    synchronized void change(List<ListedNode> changed) {
        version++;
        for (ListedNode node : changed) {
            nodes.put(node.name(), node);
            changedIn.put(node.name(), version);
            boolean usable = node.health() == Health.READY;
            history.add(new SoakHistory.ListChanged(history.now(), version, node.name(), usable));
        }
        lists.put(version, list(true, presentNodes()));
        notifyAll();
    }

    /** The complete list as this instance last had it: the first one, or what was last written to it. */
    synchronized String lastHad(int instance) {
        return lists.get(lastWritten.getOrDefault(instance, FIRST_VERSION));
    }

    private List<ListedNode> presentNodes() {
        return nodes.values().stream().filter(node -> node.health() != Health.REMOVED).toList();
    }

    private String list(boolean complete, List<ListedNode> listed) {
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":["
            + listed.stream().map(ListedNode::json).collect(Collectors.joining(",")) + "]}";
    }

    /** Goes down: watches end, calls are rejected late or reset. */
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

    /** Responses to this instance are truncated, or all of them complete again. */
    void truncate(int instance, boolean on) {
        if (on) {
            truncating.add(instance);
        } else {
            truncating.remove(instance);
        }
    }

    // ---------------------------------------------------------------- a call

    private void serve(int instance, Socket socket) throws IOException, InterruptedException {
        Set<Socket> calls = callsOf.computeIfAbsent(instance, i -> ConcurrentHashMap.newKeySet());
        calls.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line; (line = requestLine(in)) != null;) {
                Matcher call = CALL.matcher(line);
                if (!call.matches() || !answer(instance, socket, call(call))) {
                    return;
                }
            }
        } finally {
            calls.remove(socket);
            open.remove(socket);
        }
    }

    private static Call call(Matcher line) {
        return line.group(1) == null ? new Call(Call.COMPLETE, 0)
            : new Call(Long.parseLong(line.group(1)), Integer.parseInt(line.group(2)));
    }

    /** The first line of the next request, or null at the end of the connection. */
    private static String requestLine(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    /** Returns whether the connection goes on. */
    private boolean answer(int instance, Socket socket, Call call) throws IOException, InterruptedException {
        if (!history.isPushed() && call.beginsWatch()) {
            double turn = turn();
            if (turn > 0) {
                Thread.sleep((long) Math.min(turn, MAX_TURN));
            }
            if (turn > MAX_TURN || isDown()) {
                return reject(socket);
            }
            if (turn < 0) {
                write(socket, UNAVAILABLE, "");
                return true;
            }
        }
        Response response = awaitChange(call);
        if (response == null) {
            socket.setSoLinger(true, 0);
            return false;
        }
        if (silenced.getOrDefault(instance, Set.of()).contains(socket)) {
            return socket.getInputStream().read() >= 0;      // until the instance gives it up
        }
        if (truncating.contains(instance)) {
            String list = response.list;
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                + list.substring(0, list.length() / 2)).getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        noteWritten(instance, response.version);
        history.add(new SoakHistory.ListWritten(history.now(), instance, response.version));
        write(socket, "200 OK", response.list);
        return true;
    }

    /** Waits until there is something to answer, for as long as the call does; null if the service is down then. */
    private synchronized Response awaitChange(Call call) throws InterruptedException {
        double until = history.now() + call.patience;
        while (!closed && (down ? history.isPushed() : call.sinceVersion == version && history.now() < until)) {
            wait((long) Math.max(1, until - history.now()));
        }
        if (down) {
            return null;
        }
        List<ListedNode> listed = call.isForCompleteList() ? presentNodes()
            : nodes.values().stream().filter(node -> changedIn.get(node.name()) > call.sinceVersion).toList();
        return new Response(list(call.isForCompleteList(), listed), version);
    }

    private synchronized void noteWritten(int instance, long upTo) {
        lastWritten.merge(instance, upTo, Math::max);
    }

    private synchronized boolean isDown() {
        return down;
    }

    /** How long a call waits for its turn, in milliseconds, or {@link #QUEUE_FULL}. */
    private synchronized double turn() {
        if (down) {
            return MAX_TURN;
        }
        double now = history.now();
        freeAt = Math.max(freeAt, now);
        double waits = freeAt - now;
        if (waits > 2 * MAX_TURN) {
            return QUEUE_FULL;
        }
        freeAt += MILLIS_PER_SECOND / callsPerSecond;
        return waits;
    }

    private boolean reject(Socket socket) throws IOException {
        if (random.nextInt(RESET_ONE_OF) == 0) {
            socket.setSoLinger(true, 0);
            return false;
        }
        write(socket, UNAVAILABLE, "");
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
