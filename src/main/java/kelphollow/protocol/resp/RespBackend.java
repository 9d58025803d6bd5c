package kelphollow.protocol.resp;

import io.netty.channel.ChannelHandler;
import java.util.logging.Logger;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.RateLimitedLog;
import kelphollow.routing.Ticker;
import kelphollow.transport.ConnectionPools;

/** Carries attempts to the platform's storage nodes, one {@link RespExchange} each. Confined to the event loop. */
public final class RespBackend implements Backend {
    private final ConnectionPools pools;
    private final Ticker ticker;
    private final RateLimitedLog givenUp = new RateLimitedLog(Logger.getLogger(RespBackend.class.getName()));

    /** Creates a backend on connection pools whose codec is {@link #codec}. */
    public RespBackend(ConnectionPools pools, Ticker ticker) {
        this.pools = pools;
        this.ticker = ticker;
    }

    /** Returns new codec handlers for one exchange on a connection to a node. */
    public static ChannelHandler[] codec() {
        return RespCodec.forNode();
    }

    @Override public void start(Attempt attempt) {
        RespExchange exchange = new RespExchange(attempt, ticker, givenUp);
        attempt.attach(exchange);
        exchange.connection(pools.acquire(attempt.target().endpoint().node(), attempt.target().address(), exchange));
    }

    @Override public void cancel(Attempt attempt) {
        if (attempt.transportHandle() instanceof RespExchange exchange) {
            exchange.cancel();
        }
    }

    @Override public void closeIdleConnections(String node) {
        pools.closeIdle(node);
    }
}
