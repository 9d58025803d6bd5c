package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import kelphollow.decision.ControlApi.Outcome;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.Result;
import kelphollow.transport.Link;
import kelphollow.transport.Pools;

/** Carries attempts to the platform's storage nodes. */
public final class RespBackend implements Backend {
    private static final Logger LOG = Logger.getLogger(RespBackend.class.getName());
    private final Pools pools;

    public RespBackend(Pools pools) {
        this.pools = pools;
    }

    /** The handlers of a connection to a node. */
    public static void codec(Channel channel) {
        Resp.install(channel);
    }

    @Override public void start(Attempt attempt) {
        Exchange exchange = new Exchange(attempt);
        attempt.carrier = exchange;
        Link link = pools.lease(attempt.member().entry().node(), attempt.member().address(), exchange);
        exchange.link = link;
    }

    @Override public void abandon(Attempt attempt) {
        if (attempt.carrier instanceof Exchange exchange && exchange.link != null) {
            exchange.link.close();
        }
    }

    @Override public void retire(String node) {
        pools.retire(node);
    }

    /** One command and its answer on a connection. */
    private static final class Exchange implements Link.User {
        private final Attempt attempt;
        private Link link;
        private ChannelFuture written;

        Exchange(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override public void up(Link up) {
            link = up;
            if (!attempt.mayWrite()) {
                up.release();
                attempt.ended(Result.of(Outcome.NOT_SENT));
                return;
            }
            RespCommand command = (RespCommand) attempt.request().message();
            written = up.channel().writeAndFlush(command.forNode(attempt.remaining()));
        }

        @Override public void received(Link on, Object message) {
            Result result;
            try {
                result = read((RedisMessage) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
            if (result == null) {
                LOG.warning(() -> attempt.member().entry().node() + " gave an answer of no known form");
                on.close();
                attempt.ended(Result.of(Outcome.ERROR));
            } else {
                on.release();
                attempt.ended(result);
            }
        }

        /** A connection that ends before the last byte was written proves that the attempt never ran. */
        @Override public void broken(Link on, Throwable cause) {
            boolean neverRan = written == null || !written.isSuccess();
            attempt.ended(Result.of(neverRan ? Outcome.NO_CONNECTION : Outcome.RESET));
        }
    }

    static Result read(RedisMessage message) {
        if (message instanceof ErrorRedisMessage error) {
            String[] words = error.content().split(" ");
            Outcome outcome = words[0].equals("BUSY") ? Outcome.FULL : Outcome.ERROR;
            if (!words[0].equals("BUSY") && !words[0].equals("ERR")) {
                LOG.warning(() -> "a node answered -" + error.content());
            }
            Map<String, Double> figures = new HashMap<>();
            for (String word : words) {
                if (!figures(word, figures)) {
                    return null;
                }
            }
            return result(outcome, null, figures);
        }
        if (!(message instanceof ArrayRedisMessage array) || array.isNull()) {
            return null;
        }
        List<RedisMessage> parts = array.children();
        byte[] value = parts.isEmpty() ? null : Resp.bytes(parts.get(0));
        if (value == null) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        for (RedisMessage part : parts.subList(1, parts.size())) {
            if (!(part instanceof FullBulkStringRedisMessage bulk) || !bulk.isNull() && !figures(Resp.text(bulk), figures)) {
                return null;
            }
        }
        return result(Outcome.SERVED, value, figures);
    }

    /** Reads {@code used=37,cost=4}; words without a figure are passed over. False when a figure is none. */
    private static boolean figures(String text, Map<String, Double> into) {
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                try {
                    double figure = Double.parseDouble(pair.substring(equals + 1));
                    if (!(figure >= 0 && figure < 1e12)) {
                        return false;
                    }
                    into.put(pair.substring(0, equals), figure);
                } catch (NumberFormatException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private static Result result(Outcome outcome, byte[] value, Map<String, Double> figures) {
        Double inFlight = figures.get("inflight");
        return new Result(outcome, value, false, figures.getOrDefault("cost", 0.0), figures.getOrDefault("used", 0.0) - 1,
            inFlight == null ? Map.of() : Map.of("inFlight", inFlight));
    }
}
