package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.logging.Logger;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.Attempt;
import kelphollow.routing.AttemptResult;
import kelphollow.routing.Ticker;
import kelphollow.transport.PooledConnection;

/**
 * One command and its reply on a connection to a node. Releases each message that it receives; the bytes of a streamed value
 * go to {@link StreamedValue#take}, which owns them from there on. For the event loop alone.
 */
final class RespExchange implements PooledConnection.ExchangeHandler {
    private static final Logger LOG = Logger.getLogger(RespExchange.class.getName());
    // In milliseconds, of a reply of which nothing has been forwarded.
    private static final double REPLY_STALL = 200;
    // In milliseconds, of a node whose value is being forwarded: it cannot be had again, and peers may take seconds over it.
    private static final double STREAM_STALL = 2_000;
    // In milliseconds; a client that takes nothing of its value for so long is gone.
    private static final double CLIENT_STALL = 10_000;

    private final Attempt attempt;
    private final Ticker ticker;
    private PooledConnection connection;
    private ChannelFuture commandWritten;
    private Ticker.Timeout stallTimer;
    private double incompleteSince;
    private StreamedValue value;

    RespExchange(Attempt attempt, Ticker ticker) {
        this.attempt = attempt;
        this.ticker = ticker;
    }

    /** The connection that was leased for it, which may still be dialled. */
    void connection(PooledConnection leased) {
        connection = leased;
    }

    @Override public void connected(PooledConnection up) {
        connection = up;
        if (!attempt.maySend()) {
            up.release();
            attempt.ended(AttemptResult.of(AttemptOutcome.NOT_SENT));
            return;
        }
        commandWritten = up.channel().writeAndFlush(call().command().forNode(attempt.remaining()));
    }

    private RespCall call() {
        return (RespCall) attempt.request().message();
    }

    @Override public void received(PooledConnection on, Object message) {
        if (message instanceof StreamedValueSplitter.Head head) {
            value = new StreamedValue(head.length(), on.channel(), ticker);
            partialMessage(on);
        } else if (message instanceof ByteBuf bytes) {
            attempt.progressed();
            partialMessage(on);
            if (value.take(bytes) && !value.isAnnounced()) {
                attempt.responseStarted();
                value.announce(call().receiver());
            }
        } else {
            reply(on, (RedisMessage) message);
        }
    }

    private void reply(PooledConnection on, RedisMessage message) {
        AttemptResult result;
        try {
            result = NodeReply.read(message, value != null);
        } finally {
            ReferenceCountUtil.release(message);
        }
        if (result == null) {
            malformedReply();
            return;
        }
        cancelTimer();
        if (value != null) {
            value.complete();
        }
        on.release();
        attempt.ended(result);
    }

    /** A reply that cannot be read: the request has run, and the connection is of no further use. */
    private void malformedReply() {
        LOG.fine(() -> attempt.target().endpoint().node() + " gave a reply that cannot be read");
        close();
        attempt.ended(failure(AttemptOutcome.ERROR));
    }

    /** A value that has begun to be forwarded cannot be had again. */
    private AttemptResult failure(AttemptOutcome outcome) {
        return AttemptResult.of(outcome, null, isStreaming());
    }

    private boolean isStreaming() {
        return value != null && value.isAnnounced();
    }

    /** Guards against a reply that begins and never ends, such as a length that announces too much. */
    @Override public void partialMessage(PooledConnection on) {
        incompleteSince = ticker.now();
        if (stallTimer == null) {
            stallTimer = ticker.after(REPLY_STALL, this::checkStall);
        }
    }

    private void checkStall() {
        boolean streaming = isStreaming();
        double stalled = streaming ? value.stalledFor() : ticker.now() - incompleteSince;
        double bound = stallBound(streaming);
        if (stalled < bound) {
            // Checked again soon enough for the shorter bound, whoever is waited for by then.
            double left = bound - stalled;
            stallTimer = ticker.after(streaming ? Math.min(left, STREAM_STALL) : left, this::checkStall);
        } else if (streaming && value.waitsForClient()) {
            value.cutOff();            // or its turn has not come, and the reply before it is what is stalled
            stallTimer = ticker.after(STREAM_STALL, this::checkStall);
        } else {
            malformedReply();
        }
    }

    private double stallBound(boolean streaming) {
        if (!streaming) {
            return REPLY_STALL;
        }
        return value.waitsForClient() ? CLIENT_STALL : STREAM_STALL;
    }

    /**
     * A connection that ends before the last byte was written proves that the attempt never ran. Noise in place of a reply
     * is an error, no sign of a dead node.
     */
    @Override public void connectionFailed(PooledConnection on, Throwable cause) {
        cancelTimer();
        boolean neverRan = commandWritten == null || !commandWritten.isSuccess();
        discardUnannounced();
        if (cause instanceof CodecException) {
            attempt.ended(failure(AttemptOutcome.ERROR));
        } else {
            attempt.ended(failure(neverRan ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET));
        }
    }

    private void cancelTimer() {
        if (stallTimer != null) {
            stallTimer.cancel();
        }
    }

    /** Closes the connection, the sign to the node that its reply is no longer awaited. */
    void close() {
        cancelTimer();
        discardUnannounced();
        if (connection != null) {
            connection.close();
        }
    }

    /** What no client knows of yet is discarded here, all else by the client's side. */
    private void discardUnannounced() {
        if (value != null && !value.isAnnounced()) {
            value.discard();
        }
    }
}
