package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;

/** The front for the platform's clients: accepts their connections and closes idle ones. For the event loop alone. */
public final class RespFront implements Front {
    // In milliseconds.
    private static final double SWEEP_INTERVAL = 100;
    // In milliseconds, between the last reply and the close, and in all with a client that is slow to read: at SIGTERM
    // connections close from 500 ms before the kill on, and by then the process has to be gone.
    private static final double LINGER = 250;
    private static final double LINGER_OVERALL = 400;
    private static final int LINGERING_PART = 6;
    // In milliseconds; only connections that have been idle for so long are closed to make room, none that has just come.
    private static final double MIN_IDLE_TO_EVICT = 50;

    private final RequestRouter router;
    private final Ticker ticker;
    private final int maxConnections;
    private final RequestIntake intake;
    /** In the order of their last activity. */
    private final Set<RespConnection> connections = new LinkedHashSet<>();
    private final LingeringClose lingering;
    private Runnable whenShutDown;

    /** {@code maxConnections} is how many there may be in all, beside some that are being closed. */
    public RespFront(RequestRouter router, Ticker ticker, ControlSettings settings, int maxConnections) {
        this.router = router;
        this.ticker = ticker;
        this.maxConnections = maxConnections;
        this.lingering = new LingeringClose(ticker, LINGER_OVERALL, LINGER, maxConnections / LINGERING_PART);
        this.intake = new RequestIntake(settings);
        scheduleSweep();
    }

    /** Classes that new settings name are accepted from now on; those known before stay, for clients that lag. */
    public void addClasses(List<RequestClass> classes) {
        intake.addClasses(classes);
    }

    @Override public int connections() {
        return connections.size();
    }

    @Override public void accept(Channel channel) {
        channel.pipeline().addLast(RespCodec.forClient());
        RespConnection connection = new RespConnection(this, router, intake, ticker, channel);
        connections.add(connection);
        channel.pipeline().addLast(connection);
    }

    /** Guards descriptors and memory against clients that connect and send nothing, half a command, or nothing more. */
    private void scheduleSweep() {
        ticker.after(SWEEP_INTERVAL, () -> {
            long used = connections.stream().filter(connection -> connection.activity().hasRequested()).count();
            boolean crowded = used > maxConnections / 2;
            List.copyOf(connections).stream()
                .filter(connection -> connection.isIdle() && connection.activity().hasExpired(crowded))
                .forEach(RespConnection::close);
            scheduleSweep();
        });
    }

    /** Those without a request so far go first, then those that have been idle longest. */
    @Override public void evictIdle() {
        RespConnection evicted = null;
        for (RespConnection connection : connections) {
            if (connection.activity().idleFor() < MIN_IDLE_TO_EVICT) {
                break;
            }
            boolean preferred = evicted == null
                || evicted.activity().hasRequested() && !connection.activity().hasRequested();
            if (connection.isIdle() && preferred) {
                evicted = connection;
            }
        }
        if (evicted != null) {
            evicted.close();
        }
    }

    @Override public void shutDown(Runnable whenClosed) {
        whenShutDown = whenClosed;
        List.copyOf(connections).forEach(RespConnection::flushReplies);
        checkShutdown();
    }

    boolean isShuttingDown() {
        return whenShutDown != null;
    }

    /** Ends the shutdown once the last connection has gone. */
    void checkShutdown() {
        if (isShuttingDown() && connections.isEmpty() && lingering.connections() == 0) {
            whenShutDown.run();
        }
    }

    /** The connection has just shown activity: it is the last to be closed for want of room. */
    void active(RespConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    void remove(RespConnection connection) {
        connections.remove(connection);
    }

    void lingeringClose(Channel channel) {
        lingering.begin(channel);
    }
}
