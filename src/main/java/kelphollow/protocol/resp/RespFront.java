package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.routing.RateLimitedLog;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.CloseReason;
import kelphollow.transport.ConnectionLog;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;

/** The RESP front for the platform's clients: accepts connections and closes idle ones. Confined to the event loop. */
public final class RespFront implements Front {
    private static final double SWEEP_INTERVAL_MS = 100;
    // Timeouts of a lingering close: after the last reply, and in total with a client that is slow to read. After SIGTERM
    // connections start to close 500 ms before the kill, and the process must have exited by then.
    private static final double LINGER_CLIENT_TIMEOUT_MS = 250;
    private static final double LINGER_OVERALL_TIMEOUT_MS = 400;
    /** Time in a shutdown after which clients that still send are not read any more. */
    private static final double INPUT_END_MS = 150;
    /** One connection may be in a lingering close for this many that may be open. */
    private static final int CONNECTIONS_PER_LINGERING = 6;
    // Only connections that have been idle for this long are evicted, so that new ones are not.
    private static final double MIN_IDLE_TO_EVICT_MS = 50;

    private final RequestRouter router;
    private final Ticker ticker;
    private final int maxConnections;
    private final RequestIntake intake;
    /** In the order of their last activity, least recent first. */
    private final Set<RespConnection> connections = new LinkedHashSet<>();
    private final FrontMemory memory;
    /** Connections with an incomplete command, the one whose command has been incomplete longest first. */
    private final Set<RespConnection> incomplete = new LinkedHashSet<>();
    private final LingeringClose lingering;
    private final ConnectionLog log;
    private final RateLimitedLog droppedReplies = new RateLimitedLog(Logger.getLogger(RespFront.class.getName()));
    private Runnable whenShutDown;

    /**
     * Creates a front.
     *
     * @param maxConnections how many connections may be open, not counting those in a lingering close
     * @param memory what the commands of all connections may occupy
     * @param forwardedIds register of requests that must not run twice
     */
    public RespFront(RequestRouter router, Ticker ticker, ControlSettings settings, int maxConnections,
        ClientMemory memory, ForwardedIds forwardedIds) {
        this.router = router;
        this.ticker = ticker;
        this.maxConnections = maxConnections;
        this.lingering = new LingeringClose(ticker, LINGER_OVERALL_TIMEOUT_MS, LINGER_CLIENT_TIMEOUT_MS,
            maxConnections / CONNECTIONS_PER_LINGERING);
        this.memory = FrontMemory.of(memory);
        this.intake = new RequestIntake(settings, forwardedIds);
        this.log = new ConnectionLog(ticker, this::gauges);
        scheduleSweep();
    }

    /** Starts the periodic log line on client connections. */
    public void startLog() {
        log.start();
    }

    private String gauges() {
        return "open=" + connections.size() + " incomplete=" + incomplete.size() + "; held: " + memory;
    }

    ConnectionLog log() {
        return log;
    }

    /** The reply of a request that was served is replaced by an error, since there is no memory to hold it. */
    void replyDropped(String id, int bytes) {
        droppedReplies.info(ticker.now(), () -> "request " + id + " was served, but its reply of " + bytes
            + " bytes is dropped; held: " + memory);
    }

    /** Accepts the classes of new settings from now on; earlier ones stay valid for clients that still use them. */
    public void addClasses(List<RequestClass> classes) {
        intake.addClasses(classes);
    }

    @Override public int connections() {
        return connections.size();
    }

    @Override public void rejected(Channel channel) {
        log.closed(CloseReason.NO_ROOM, channel.remoteAddress(), "");
    }

    @Override public void accept(Channel channel) {
        RespConnection connection = new RespConnection(this, router, intake, ticker, channel);
        channel.pipeline().addLast(connection.input().progress(), connection.input());
        channel.pipeline().addLast(RespCodec.forClient(connection.memory()));
        connections.add(connection);
        log.accepted();
        channel.pipeline().addLast(connection);
    }

    /**
     * Closes idle and stalled connections periodically, so that clients that send nothing, or part of a command, or read
     * nothing, hold no resources.
     */
    private void scheduleSweep() {
        ticker.after(SWEEP_INTERVAL_MS, () -> {
            long withRequests = connections.stream().filter(connection -> connection.activity().hasRequested()).count();
            boolean crowded = withRequests > maxConnections / 2;
            List.copyOf(connections).stream()
                .filter(connection -> connection.isIdle() && connection.activity().hasExpired(crowded))
                .forEach(connection -> connection.closeIfIdle(CloseReason.IDLE));
            List.copyOf(connections).forEach(RespConnection::closeIfStalled);
            scheduleSweep();
        });
    }

    /** Closes the longest idle connection that has sent no request, or else the longest idle one. */
    @Override public void evictIdle() {
        List<RespConnection> idle = new ArrayList<>();
        for (RespConnection connection : connections) {
            if (connection.activity().idleMs() < MIN_IDLE_TO_EVICT_MS) {
                break;
            }
            if (connection.isIdle()) {
                idle.add(connection);
            }
        }
        idle.sort(Comparator.comparing(connection -> connection.activity().hasRequested()));
        int before = connections.size();
        for (RespConnection candidate : idle) {
            if (connections.size() < before) {
                return;
            }
            candidate.closeIfIdle(CloseReason.EVICTED);    // no effect if a request has arrived on it
        }
    }

    @Override public void shutDown(Runnable whenClosed) {
        whenShutDown = whenClosed;
        List.copyOf(connections).forEach(RespConnection::flushReplies);
        ticker.after(INPUT_END_MS, () -> List.copyOf(connections).forEach(RespConnection::endInput));
        checkShutdown();
    }

    boolean isShuttingDown() {
        return whenShutDown != null;
    }

    /** Completes the shutdown once the last connection is closed. */
    void checkShutdown() {
        if (isShuttingDown() && connections.isEmpty() && lingering.connections() == 0) {
            whenShutDown.run();
        }
    }

    /** Moves the connection to the end of the eviction order after activity on it. */
    void markActive(RespConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    void remove(RespConnection connection) {
        connections.remove(connection);
    }

    FrontMemory memory() {
        return memory;
    }

    /** The connection's incomplete command occupies more bytes; the longest incomplete ones are evicted until all fit. */
    void commandIncomplete(RespConnection connection) {
        incomplete.add(connection);
        while (memory.incompleteCommands().isExceeded()) {
            incomplete.iterator().next().evictIncomplete();
        }
    }

    /** The connection has no incomplete command any more. */
    void commandEnded(RespConnection connection) {
        incomplete.remove(connection);
    }

    void lingeringCloseUnread(Channel channel) {
        lingering.beginUnread(channel);
    }

    void lingeringClose(Channel channel) {
        lingering.begin(channel);
    }
}
