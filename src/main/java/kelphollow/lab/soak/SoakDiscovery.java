package kelphollow.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
 * A fake discovery service for all instances of a run, written from the platform's description: complete lists, changes
 * since a version, and calls that wait for changes. Each instance gets its own addresses, which identify its calls. One
 * service behind them handles calls that begin a watch one after the other, rejects them while its queue is full, and can be
 * down. Where lists are pushed it acts as the instances' agents: each call is served at once, and none is while it is down.
 * Thread-safe.
 */
final class SoakDiscovery implements AutoCloseable {
    /** Whether a node may get new requests; {@code word} is its form in the list. */
    enum Health {
        READY("ready"), DRAINING("draining"), REMOVED("gone");

        private final String word;

        Health(String word) {
            this.word = word;
        }
    }

    /** A node of the list; {@code startedAt} in Unix milliseconds, 0 for a node that has long been running. */
    record ListedNode(String name, InetSocketAddress address, int cell, Health health, long startedAt) {
        static ListedNode of(SoakNode node, Health health, long startedAt) {
            return new ListedNode(node.name(), node.address(), node.cell(), health, startedAt);
        }

        String json() {
            return "{\"host\":\"" + name + "\",\"dial\":\"" + address.getAddress().getHostAddress() + ":" + address.getPort()
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":" + cell + ",\"health\":\"" + health.word
                + "\",\"share\":1.0,\"born_ms\":" + startedAt + "}";
        }
    }

    /**
     * A call for the changes since a version, or for the complete list. Without changes it is answered after
     * {@code patience} milliseconds.
     */
    private record Call(long sinceVersion, int patience) {
        static final long COMPLETE = -1;

        boolean isForCompleteList() {
            return sinceVersion < 0;
        }

        /** Whether the call begins a watch; such calls are handled one after the other. */
        boolean beginsWatch() {
            return isForCompleteList() || patience <= MAX_IMMEDIATE_WAIT_MS;
        }
    }

    /** The list of a response, as JSON, and the version up to which it is complete. */
    private record Response(String list, long version) {}

    /** Calls that would queue for longer than this are rejected, as are all calls while the service is down. */
    private static final double MAX_QUEUE_MS = 2_000;
    private static final int MAX_IMMEDIATE_WAIT_MS = 1;
    private static final double QUEUE_FULL = -1;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int CLOSE_CHECK_MS = 1;
    private static final int RESETS_ONE_IN = 3;
    private static final long FIRST_VERSION = 1;
    private static final String UNAVAILABLE = "503 Service Unavailable";
    private static final Pattern CALL = Pattern.compile("GET /catalog/members(?:\\?index=(\\d+)&wait=(\\d+))? .*");

    private final SoakHistory history;
    private final Random random;
    private final Map<String, ListedNode> nodes = new LinkedHashMap<>();
    private final Map<String, Long> changedIn = new LinkedHashMap<>();
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final Set<Integer> truncating = ConcurrentHashMap.newKeySet();
    private final Map<Integer, Set<Socket>> silenced = new ConcurrentHashMap<>();
    private final Map<Integer, Set<Socket>> callsByInstance = new ConcurrentHashMap<>();
    /** The complete list of each version, and the newest version that was written to each instance. */
    private final Map<Long, String> lists = new HashMap<>();
    private final Map<Integer, Long> lastWritten = new HashMap<>();
    private final InetAddress loopback;
    private long version;
    private boolean down;
    private double downFrom;
    private double callsPerSecond = Double.POSITIVE_INFINITY;
    private double freeAt;
    private volatile boolean closed;

    SoakDiscovery(SoakHistory history, Random random) {
        this.loopback = LoopbackAddress.next();
        this.history = history;
        this.random = random;
    }

    /** Opens another address of the service for this instance. */
    InetSocketAddress addressFor(int instance) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, loopback);
        listeners.add(listener);
        SoakThreads.start("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                openSockets.add(socket);
                SoakThreads.start("discovery call", () -> serve(instance, socket));
            }
        });
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    // ---------------------------------------------------------------- list changes and faults

    /** Adds or updates these nodes in the list, all in one new version. */
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

    /** Returns the complete list of the newest version written to this instance, or of the first version. */
    synchronized String lastListOf(int instance) {
        return lists.get(lastWritten.getOrDefault(instance, FIRST_VERSION));
    }

    private List<ListedNode> presentNodes() {
        return nodes.values().stream().filter(node -> node.health() != Health.REMOVED).toList();
    }

    private String list(boolean complete, List<ListedNode> listed) {
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":["
            + listed.stream().map(ListedNode::json).collect(Collectors.joining(",")) + "]}";
    }

    /** Takes the service down: watches end, and calls are rejected after a delay or reset. */
    synchronized void goDown() {
        if (!down) {
            down = true;
            downFrom = history.now();
            notifyAll();
        }
    }

    /** Ends an outage. */
    synchronized void recover() {
        if (down) {
            down = false;
            history.add(new SoakHistory.Outage(downFrom, history.now()));
            notifyAll();
        }
    }

    /** Sets the rate at which calls that begin a watch are handled; infinite means without delay. */
    synchronized void setCallRate(double perSecond) {
        callsPerSecond = perSecond;
    }

    /** Stops all responses to the open calls of this instance; later calls are answered. */
    void silenceWatches(int instance) {
        Set<Socket> calls = callsByInstance.getOrDefault(instance, Set.of());
        silenced.computeIfAbsent(instance, i -> ConcurrentHashMap.newKeySet()).addAll(calls);
        history.add(new SoakHistory.WatchSilent(history.now(), instance));
    }

    /** Starts or stops truncating the responses to this instance. */
    void truncate(int instance, boolean on) {
        if (on) {
            truncating.add(instance);
        } else {
            truncating.remove(instance);
        }
    }

    // ---------------------------------------------------------------- serving calls

    private void serve(int instance, Socket socket) throws IOException, InterruptedException {
        Set<Socket> calls = callsByInstance.computeIfAbsent(instance, i -> ConcurrentHashMap.newKeySet());
        calls.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line; (line = requestLine(in)) != null;) {
                Matcher call = CALL.matcher(line);
                if (!call.matches() || !answer(instance, socket, in, call(call))) {
                    return;
                }
            }
        } finally {
            calls.remove(socket);
            openSockets.remove(socket);
        }
    }

    private static Call call(Matcher line) {
        return line.group(1) == null ? new Call(Call.COMPLETE, 0)
            : new Call(Long.parseLong(line.group(1)), Integer.parseInt(line.group(2)));
    }

    /** Reads the next request and returns its first line, or null at the end of the connection. */
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

    /** Answers a call and returns whether the connection stays open. */
    private boolean answer(int instance, Socket socket, InputStream in, Call call) throws IOException, InterruptedException {
        if (!history.isPushed() && call.beginsWatch()) {
            double queueTime = queueTime();
            if (queueTime > 0) {
                Thread.sleep((long) Math.min(queueTime, MAX_QUEUE_MS));
            }
            if (queueTime > MAX_QUEUE_MS || isDown()) {
                return reject(socket);
            }
            if (queueTime < 0) {
                write(socket, UNAVAILABLE, "");
                return true;
            }
        }
        Response response = awaitChange(call);
        if (response == null) {
            socket.setSoLinger(true, 0);
            return false;
        }
        if (hasCallerClosed(socket, in)) {
            return false;                  // not written to the instance, so not notified
        }
        if (silenced.getOrDefault(instance, Set.of()).contains(socket)) {
            return socket.getInputStream().read() >= 0;      // until the instance closes the connection
        }
        if (truncating.contains(instance)) {
            String list = response.list;
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                + list.substring(0, list.length() / 2)).getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        recordWritten(instance, response.version);
        history.add(new SoakHistory.ListWritten(history.now(), instance, response.version));
        write(socket, "200 OK", response.list);
        return true;
    }

    private static boolean hasCallerClosed(Socket socket, InputStream in) throws IOException {
        socket.setSoTimeout(CLOSE_CHECK_MS);
        in.mark(1);
        try {
            if (in.read() < 0) {
                return true;
            }
            in.reset();
        } catch (SocketTimeoutException e) {
            // The caller waits for its response.
        } finally {
            socket.setSoTimeout(0);
        }
        return false;
    }

    /** Waits for a change, as long as the call does, and returns the response; null if the service is down then. */
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

    private synchronized void recordWritten(int instance, long upTo) {
        lastWritten.merge(instance, upTo, Math::max);
    }

    private synchronized boolean isDown() {
        return down;
    }

    /** Returns the time that a call has to queue, in milliseconds, or {@link #QUEUE_FULL}. */
    private synchronized double queueTime() {
        if (down) {
            return MAX_QUEUE_MS;
        }
        double now = history.now();
        freeAt = Math.max(freeAt, now);
        double waitTime = freeAt - now;
        if (waitTime > 2 * MAX_QUEUE_MS) {
            return QUEUE_FULL;
        }
        freeAt += MILLIS_PER_SECOND / callsPerSecond;
        return waitTime;
    }

    private boolean reject(Socket socket) throws IOException {
        if (random.nextInt(RESETS_ONE_IN) == 0) {
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
        for (Socket socket : List.copyOf(Collections.unmodifiableSet(openSockets))) {
            socket.close();
        }
    }
}
