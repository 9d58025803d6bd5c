package kelphollow.protocol.object;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.Ticker;
import kelphollow.transport.ConnectionPools;

/** Sends attempts to object servers over HTTP, each by a {@link NodeExchange}. Confined to the event loop. */
public final class ObjectBackend implements Backend {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final ConnectionPools pools;
    private final Ticker ticker;
    private final double stallTimeout;

    /** {@code stallTimeout} is how many milliseconds a body may make no progress before its attempt is given up. */
    public ObjectBackend(ConnectionPools pools, Ticker ticker, double stallTimeout) {
        this.pools = pools;
        this.ticker = ticker;
        this.stallTimeout = stallTimeout;
    }

    /** Creates the channel handlers of a connection to an object server. */
    public static ChannelHandler[] codec() {
        return new ChannelHandler[] {new HttpClientCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES)};
    }

    @Override public void start(Attempt attempt) {
        NodeExchange exchange = new NodeExchange(attempt, ticker, stallTimeout);
        attempt.attach(exchange);
        exchange.connection(pools.acquire(attempt.target().endpoint().node(), attempt.target().address(), exchange));
    }

    @Override public void cancel(Attempt attempt) {
        if (attempt.transportHandle() instanceof NodeExchange exchange) {
            exchange.close();
        }
    }

    @Override public void closeIdleConnections(String node) {
        pools.closeIdle(node);
    }
}
