package kelphollow.protocol.resp;

import io.netty.channel.ChannelHandler;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.Ticker;
import kelphollow.transport.ConnectionPools;

/** Carries attempts to the platform's storage nodes, each by a {@link RespExchange}. For the event loop alone. */
public final class RespBackend implements Backend {
    private final ConnectionPools pools;
    private final Ticker ticker;

    /** A backend over these connections, whose codec must be that of {@link #codec}. */
    public RespBackend(ConnectionPools pools, Ticker ticker) {
        this.pools = pools;
        this.ticker = ticker;
    }

    /** The handlers of a connection to a node. */
    public static ChannelHandler[] codec() {
        return RespCodec.forNode();
    }

    @Override public void start(Attempt attempt) {
        RespExchange exchange = new RespExchange(attempt, ticker);
        attempt.attach(exchange);
        exchange.connection(pools.acquire(attempt.target().endpoint().node(), attempt.target().address(), exchange));
    }

    @Override public void cancel(Attempt attempt) {
        if (attempt.transportHandle() instanceof RespExchange exchange) {
            exchange.close();
        }
    }

    @Override public void closeIdleConnections(String node) {
        pools.closeIdle(node);
    }
}
