package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
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
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.Attempt;
import kelphollow.routing.Backend;
import kelphollow.routing.AttemptResult;
import kelphollow.routing.Ticker;
import kelphollow.transport.PooledConnection;
import kelphollow.transport.ConnectionPools;

/** Carries attempts to the platform's storage nodes. */
public final class RespBackend implements Backend {
    private static final Logger LOG = Logger.getLogger(RespBackend.class.getName());
    // An answer that stands still half-way for so long is spoilt, as long as nothing of it has been passed on.
    private static final double STANDSTILL = 200;
    // A value that is being passed on is waited for longer: it cannot be had again. Peers may take seconds over it.
    private static final double LONG_STANDSTILL = 2_000;
    // A client that takes nothing of its value for so long is gone.
    private static final double CLIENT_STANDSTILL = 10_000;
    /** A value, the figures on use and the load report. */
    static final int ANSWER_PARTS = 3;
    private static final Pattern FIGURE = Pattern.compile("([a-z]+)=(\\d{1,9}(?:\\.\\d{1,9})?)");
    private final ConnectionPools pools;
    private final Ticker ticker;

    public RespBackend(ConnectionPools pools, Ticker ticker) {
        this.pools = pools;
        this.ticker = ticker;
    }

    /** The handlers of a connection to a node. */
    public static ChannelHandler[] codec() {
        return Resp.nodeCodec();
    }

    @Override public void start(Attempt attempt) {
        Exchange exchange = new Exchange(attempt);
        attempt.attach(exchange);
        PooledConnection link = pools.acquire(attempt.target().endpoint().node(), attempt.target().address(), exchange);
        exchange.link = link;
    }

    @Override public void cancel(Attempt attempt) {
        if (attempt.transportHandle() instanceof Exchange exchange) {
            exchange.close();
        }
    }

    @Override public void closeIdleConnections(String node) {
        pools.closeIdle(node);
    }

    /** One command and its answer on a connection. */
    private final class Exchange implements PooledConnection.User {
        private final Attempt attempt;
        private PooledConnection link;
        private ChannelFuture written;
        private Ticker.Timeout standstill;
        private double partlyAt;
        private LongValue value;

        Exchange(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override public void connected(PooledConnection up) {
            link = up;
            if (!attempt.maySend()) {
                up.release();
                attempt.ended(AttemptResult.of(AttemptOutcome.NOT_SENT));
                return;
            }
            RespCommand command = call().command();
            written = up.channel().writeAndFlush(command.forNode(attempt.remaining()));
        }

        private RespCall call() {
            return (RespCall) attempt.request().message();
        }

        @Override public void received(PooledConnection on, Object message) {
            if (message instanceof LongValueSplitter.Head head) {
                value = new LongValue(head.length(), on.channel(), ticker);
                partialMessage(on);
                return;
            }
            if (message instanceof ByteBuf bytes) {
                attempt.progressed();
                partialMessage(on);
                if (value.take(bytes) && !value.hasBegun()) {
                    attempt.responseStarted();
                    value.begin(call().taker());
                }
                return;
            }
            AttemptResult result;
            try {
                result = read((RedisMessage) message, value != null);
            } finally {
                ReferenceCountUtil.release(message);
            }
            if (result == null) {
                spoilt();
            } else {
                cancelTimer();
                if (value != null) {
                    value.whole();
                }
                on.release();
                attempt.ended(result);
            }
        }

        /** An answer that cannot be read: the request has run, and the connection is of no further use. */
        private void spoilt() {
            LOG.fine(() -> attempt.target().endpoint().node() + " gave an answer that cannot be read");
            close();
            attempt.ended(failed(AttemptOutcome.ERROR));
        }

        /** What has begun to be passed on cannot be had again. */
        private AttemptResult failed(AttemptOutcome outcome) {
            return AttemptResult.of(outcome, null, value != null && value.hasBegun());
        }

        /** Guards against an answer that begins and never ends, such as a length that says too much. */
        @Override public void partialMessage(PooledConnection on) {
            partlyAt = ticker.now();
            if (standstill == null) {
                standstill = ticker.after(STANDSTILL, this::look);
            }
        }

        private void look() {
            boolean begun = value != null && value.hasBegun();
            double still = begun ? value.stoodStill() : ticker.now() - partlyAt;
            double most = !begun ? STANDSTILL : value.waitsForClient() ? CLIENT_STANDSTILL : LONG_STANDSTILL;
            if (still < most) {
                // Looked at again soon enough for the shorter bound, whoever is waited for by then.
                standstill = ticker.after(begun ? Math.min(most - still, LONG_STANDSTILL) : most - still, this::look);
            } else if (begun && value.waitsForClient()) {
                value.breakOff();          // or its turn has not come, and the answer before it is what stands still
                standstill = ticker.after(LONG_STANDSTILL, this::look);
            } else {
                spoilt();
            }
        }

        /**
         * A connection that ends before the last byte was written proves that the attempt never ran. Noise in place
         * of an answer is an error, no sign of a dead node.
         */
        @Override public void connectionFailed(PooledConnection on, Throwable cause) {
            cancelTimer();
            boolean neverRan = written == null || !written.isSuccess();
            dropUnbegun();
            attempt.ended(failed(cause instanceof CodecException ? AttemptOutcome.ERROR
                : neverRan ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET));
        }

        private void cancelTimer() {
            if (standstill != null) {
                standstill.cancel();
            }
        }

        void close() {
            cancelTimer();
            dropUnbegun();
            if (link != null) {
                link.close();
            }
        }

        /** What no client has heard of yet is let go of here, all else by the client's side. */
        private void dropUnbegun() {
            if (value != null && !value.hasBegun()) {
                value.drop();
            }
        }
    }

    /** The outcome that an answer tells, or null if it cannot be read; {@code passedOn}: the value has gone ahead of it. */
    static AttemptResult read(RedisMessage message, boolean passedOn) {
        if (message instanceof ErrorRedisMessage error) {
            String[] words = error.content().split(" ");
            AttemptOutcome outcome = words[0].equals("BUSY") ? AttemptOutcome.AT_CAPACITY : AttemptOutcome.ERROR;
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
        if (!(message instanceof ArrayRedisMessage array) || array.isNull() || array.children().size() != (passedOn
            ? ANSWER_PARTS - 1 : ANSWER_PARTS)) {
            return null;
        }
        List<RedisMessage> parts = array.children();
        byte[] value = passedOn ? null : Resp.bytes(parts.get(0));
        if (!passedOn && value == null) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        for (RedisMessage part : parts.subList(passedOn ? 0 : 1, parts.size())) {
            String text = Resp.text(part);
            if (text != null) {
                figures(text, figures);
            }
        }
        return result(AttemptOutcome.SERVED, value, figures);
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

    private static AttemptResult result(AttemptOutcome outcome, byte[] value, Map<String, Double> figures) {
        Double inFlight = figures.get("inflight");
        return new AttemptResult(outcome, value, false, figures.getOrDefault("cost", 0.0), figures.getOrDefault("used",
            -1.0),
            inFlight == null ? Map.of() : Map.of("inFlight", inFlight));
    }
}
