package kelphollow.protocol.object;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import kelphollow.ledger.Ledger;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;

/** The front for clients of the object API over HTTP: accepts their connections and closes idle ones. For the event loop. */
public final class ObjectFront implements Front {
    // In milliseconds; only connections that have been idle for so long are closed to make room, none that has just come.
    private static final double MIN_IDLE_TO_EVICT_MS = 50;
    // In milliseconds, between the last response and the close.
    private static final double LINGER_MS = 1_000;
    private static final int MAX_LINGERING = 64;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final ObjectServices services;
    private final Set<ObjectConnection> connections = new LinkedHashSet<>();
    private final LingeringClose lingering;
    private Runnable whenShutDown;
    private long requests;

    /**
     * A front whose connections are handed over by {@link #accept}.
     *
     * @param ledger null where nothing outlives this process; otherwise what it holds is taken over
     * @throws IOException if the ledger cannot be read
     * @throws StoreFault if the ledger's store is damaged or closed
     */
    public ObjectFront(RequestRouter router, Ticker ticker, ObjectOptions options, Ledger ledger)
        throws IOException, StoreFault {
        double startedAt = ticker.now();
        double settleTime = options.write().deadline();
        this.lingering = new LingeringClose(ticker, options.stallTimeout(), LINGER_MS, MAX_LINGERING);
        UploadParts parts = new UploadParts(options.rememberedParts(), settleTime,
            ledger == null ? null : ledger.parts());
        Completions completions = new Completions(options.rememberedParts(), settleTime,
            ledger == null ? null : ledger.completions());
        if (ledger != null) {
            RecoveredOutcomes recovered = new RecoveredOutcomes(ledger.epoch(), startedAt, settleTime,
                ledger.lostUpTo());
            parts.restore(recovered, startedAt);
            completions.restore(recovered, startedAt);
        }
        this.services = new ObjectServices(router, ticker, options, new ObjectRequestMapper(options, ticker), parts,
            completions, startedAt);
    }

    @Override public int connections() {
        return connections.size();
    }

    @Override public void accept(Channel channel) {
        channel.config().setAutoRead(false);
        HttpServerCodec codec = new HttpServerCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        ObjectConnection connection = new ObjectConnection(this, services, channel);
        connections.add(connection);
        connection.scheduleIdleCheck();
        channel.pipeline().addLast(codec, connection);
    }

    /** Guards usual clients against others that hold connections and request nothing: the longest idle one goes. */
    @Override public void evictIdle() {
        double now = services.now();
        connections.stream()
            .filter(connection -> connection.isIdle() && now - connection.idleSince() >= MIN_IDLE_TO_EVICT_MS)
            .min(Comparator.comparingDouble(ObjectConnection::idleSince)).ifPresent(ObjectConnection::close);
    }

    @Override public void shutDown(Runnable whenClosed) {
        whenShutDown = whenClosed;
        List.copyOf(connections).forEach(ObjectConnection::closeIfIdle);
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

    /** False if it was not there any more. */
    boolean remove(ObjectConnection connection) {
        return connections.remove(connection);
    }

    void lingeringClose(Channel channel) {
        lingering.begin(channel);
    }

    /** Names a request to its client if there is an error. */
    String nextRequestId() {
        return Long.toString(++requests, Character.MAX_RADIX);
    }
}
