package kelphollow.protocol.resp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kelphollow.decision.ControlApi.Outcome;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.Result;
import kelphollow.routing.Ticker;
import kelphollow.transport.Link;
import kelphollow.transport.Pools;

/** Carries attempts to the platform's storage nodes. */
public final class RespBackend implements Backend {
    private static final Logger LOG = Logger.getLogger(RespBackend.class.getName());
    // A node writes an answer in one go; one that stands still half-way for so long is spoilt.
    private static final double STANDSTILL = 200;
    // A value, the figures on use and the load report.
    private static final int ANSWER_PARTS = 3;
    private static final Pattern FIGURE = Pattern.compile("([a-z]+)=(\\d{1,9}(?:\\.\\d{1,9})?)");
    private final Pools pools;
    private final Ticker ticker;

    public RespBackend(Pools pools, Ticker ticker) {
        this.pools = pools;
        this.ticker = ticker;
    }

    /** The handlers of a connection to a node. */
    public static ChannelHandler[] codec() {
        return Resp.codec();
    }

    @Override public void start(Attempt attempt) {
        Exchange exchange = new Exchange(attempt);
        attempt.carrier = exchange;
        Link link = pools.lease(attempt.member().entry().node(), attempt.member().address(), exchange);
        exchange.link = link;
    }

    @Override public void abandon(Attempt attempt) {
        if (attempt.carrier instanceof Exchange exchange) {
            exchange.close();
        }
    }

    @Override public void retire(String node) {
        pools.retire(node);
    }

    /** One command and its answer on a connection. */
    private final class Exchange implements Link.User {
        private final Attempt attempt;
        private Link link;
        private ChannelFuture written;
        private Ticker.Timeout standstill;

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
                spoilt();
            } else {
                cancelTimer();
                on.release();
                attempt.ended(result);
            }
        }

        /** An answer that cannot be read: the request has run, and the connection is of no further use. */
        private void spoilt() {
            LOG.fine(() -> attempt.member().entry().node() + " gave an answer that cannot be read");
            close();
            attempt.ended(Result.of(Outcome.ERROR));
        }

        /** Guards against an answer that begins and never ends, such as a length that says too much. */
        @Override public void partly(Link on) {
            if (standstill == null) {
                standstill = ticker.after(STANDSTILL, this::spoilt);
            }
        }

        /**
         * A connection that ends before the last byte was written proves that the attempt never ran. Noise in place
         * of an answer is an error, no sign of a dead node.
         */
        @Override public void broken(Link on, Throwable cause) {
            cancelTimer();
            boolean neverRan = written == null || !written.isSuccess();
            attempt.ended(Result.of(cause instanceof CodecException ? Outcome.ERROR
                : neverRan ? Outcome.NO_CONNECTION : Outcome.RESET));
        }

        private void cancelTimer() {
            if (standstill != null) {
                standstill.cancel();
            }
        }

        void close() {
            cancelTimer();
            if (link != null) {
                link.close();
            }
        }
    }

    static Result read(RedisMessage message) {
        if (message instanceof ErrorRedisMessage error) {
            String[] words = error.content().split(" ");
            Outcome outcome = words[0].equals("BUSY") ? Outcome.FULL : Outcome.ERROR;
            if (!words[0].equals("BUSY") && !words[0].equals("ERR")) {
                LOG.fine(() -> "a node answered -" + error.content());
                return null;
            }
            Map<String, Double> figures = new HashMap<>();
            for (String word : words) {
                figures(word, figures);
            }
            return result(outcome, null, figures);
        }
        if (!(message instanceof ArrayRedisMessage array) || array.isNull() || array.children().size() != ANSWER_PARTS) {
            return null;
        }
        List<RedisMessage> parts = array.children();
        byte[] value = Resp.bytes(parts.get(0));
        if (value == null) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        for (RedisMessage part : parts.subList(1, parts.size())) {
            String text = Resp.text(part);
            if (text != null) {
                figures(text, figures);
            }
        }
        return result(Outcome.SERVED, value, figures);
    }

    /**
     * Reads {@code used=37,cost=4}. What is no figure is passed over: guards against failing a request that was
     * served well, because a node tells nonsense about itself.
     */
    private static void figures(String text, Map<String, Double> into) {
        for (String pair : text.split(",")) {
            Matcher figure = FIGURE.matcher(pair);
            if (figure.matches()) {
                into.put(figure.group(1), Double.parseDouble(figure.group(2)));
            }
        }
    }

    private static Result result(Outcome outcome, byte[] value, Map<String, Double> figures) {
        Double inFlight = figures.get("inflight");
        return new Result(outcome, value, false, figures.getOrDefault("cost", 0.0), figures.getOrDefault("used", -1.0),
            inFlight == null ? Map.of() : Map.of("inFlight", inFlight));
    }
}
