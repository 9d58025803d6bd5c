package kelphollow.protocol.object;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpDecoderConfig;
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
import kelphollow.transport.ClientMemory;
import kelphollow.transport.CloseReason;
import kelphollow.transport.ConnectionLog;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;

/**
 * The client-facing side of the object API over HTTP: accepts clients' connections and closes idle ones. Confined to the
 * event loop.
 */
public final class ObjectFront implements Front {
    // Only connections idle for at least this long are closed to make room, so that a new connection is not.
    private static final double MIN_IDLE_TO_EVICT_MS = 50;
    // Time between the last response and the close.
    private static final double LINGER_MS = 1_000;
    private static final int MAX_LINGERING = 64;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    /** More requests than one read and what may be read ahead contain; the codec fails the connection above it. */
    private static final int MAX_PIPELINED = 1_024;
    private static final HttpDecoderConfig DECODER = new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEAD_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES).setHeadersFactory(new LimitedFields())
        .setTrailersFactory(new LimitedFields());

    private final ObjectServices services;
    private final Set<ObjectConnection> connections = new LinkedHashSet<>();
    private final LingeringClose lingering;
    private final ConnectionLog log;
    private Runnable whenShutDown;
    private long requests;

    /**
     * Creates a front whose connections are handed over by {@link #accept}.
     *
     * @param ledger null without persistence; otherwise its records are loaded
     * @param clientMemory bounds what clients occupy while their requests wait
     * @throws IOException if the ledger cannot be read
     * @throws StoreFault if the ledger's store is damaged or closed
     */
    public ObjectFront(RequestRouter router, Ticker ticker, ObjectOptions options, Ledger ledger, ClientMemory clientMemory)
        throws IOException, StoreFault {
        double startedAt = ticker.now();
        this.log = new ConnectionLog(ticker, () -> "open=" + connections.size() + "; held: waiting requests="
            + clientMemory);
        double settleTime = options.settleTime();
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
            completions, clientMemory, startedAt);
    }

    @Override public int connections() {
        return connections.size();
    }

    /** Starts the periodic log line on client connections. */
    public void startLog() {
        log.start();
    }

    ConnectionLog log() {
        return log;
    }

    @Override public void rejected(Channel channel) {
        log.closed(CloseReason.NO_ROOM, channel.remoteAddress(), "");
    }

    @Override public void accept(Channel channel) {
        channel.config().setAutoRead(false);
        HttpServerCodec codec = new HttpServerCodec(DECODER, MAX_PIPELINED);
        ObjectConnection connection = new ObjectConnection(this, services, channel);
        connections.add(connection);
        log.accepted();
        connection.scheduleIdleCheck();
        channel.pipeline().addLast(connection.progress(), codec, connection);
    }

    /**
     * Closes the connection that has been idle longest, so that clients that hold connections without sending requests
     * cannot keep others out.
     */
    @Override public void evictIdle() {
        double now = services.now();
        int before = connections.size();
        List<ObjectConnection> idle = connections.stream()
            .filter(connection -> connection.isIdle() && now - connection.idleSince() >= MIN_IDLE_TO_EVICT_MS)
            .sorted(Comparator.comparingDouble(ObjectConnection::idleSince)).toList();
        for (ObjectConnection candidate : idle) {
            if (connections.size() < before) {
                return;
            }
            candidate.closeIfIdle(CloseReason.EVICTED);    // no effect if a request has arrived on it
        }
    }

    @Override public void shutDown(Runnable whenClosed) {
        whenShutDown = whenClosed;
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(CloseReason.SHUTDOWN));
        checkShutdown();
    }

    boolean isShuttingDown() {
        return whenShutDown != null;
    }

    /** Ends the shutdown if the last connection is closed. */
    void checkShutdown() {
        if (isShuttingDown() && connections.isEmpty() && lingering.connections() == 0) {
            whenShutDown.run();
        }
    }

    /** Returns false if the connection was already removed. */
    boolean remove(ObjectConnection connection) {
        return connections.remove(connection);
    }

    void lingeringClose(Channel channel) {
        lingering.begin(channel);
    }

    /** Creates an id that identifies a request in an error response. */
    String nextRequestId() {
        return Long.toString(++requests, Character.MAX_RADIX);
    }
}
