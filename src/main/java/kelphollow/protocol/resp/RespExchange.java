package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.Attempt;
import kelphollow.routing.AttemptResult;
import kelphollow.routing.RateLimitedLog;
import kelphollow.routing.Ticker;
import kelphollow.transport.PooledConnection;

/**
 * One command and its reply on a connection to a node. Releases each message that it receives, except the bytes of a
 * streamed value, whose ownership passes to {@link StreamedValue#append}. Confined to the event loop.
 */
final class RespExchange implements PooledConnection.ExchangeHandler {
    // For a short value. It can still be requested again.
    private static final double SHORT_VALUE_STALL_TIMEOUT_MS = 200;
    // For a reply whose length is not known yet: nodes write in pieces of any size, with pauses, and it may be a long value.
    private static final double HEAD_STALL_TIMEOUT_MS = 2_000;
    // For a value that is being forwarded, which cannot be requested again: after this time a node counts as failed and a
    // client that reads nothing as disconnected.
    private static final double STREAM_STALL_TIMEOUT_MS = 10_000;
    // How long a long value is only buffered, so that it can still be requested again if its node fails.
    private static final double MAX_BUFFERING_MS = 100;
    // Time before the attempt's timeout at which a long value is forwarded at the latest.
    private static final double FORWARDING_MARGIN_MS = 20;

    private final Attempt attempt;
    private final Ticker ticker;
    private final RateLimitedLog log;
    private PooledConnection connection;
    private ChannelFuture commandWritten;
    /** Whether the command was registered as forwarded. */
    private boolean isRegistered;
    private Ticker.Timeout stallTimer;
    private Ticker.Timeout announcementTimer;
    private double incompleteSince;
    /** Whether the reply is known to have a value that is buffered. */
    private boolean isShort;
    private StreamedValue value;

    /** {@code log}: for replies that were given up after they had begun. */
    RespExchange(Attempt attempt, Ticker ticker, RateLimitedLog log) {
        this.attempt = attempt;
        this.ticker = ticker;
        this.log = log;
    }

    /** Sets the connection acquired for this exchange, which may still be connecting. */
    void connection(PooledConnection acquired) {
        connection = acquired;
    }

    @Override public void connected(PooledConnection established) {
        connection = established;
        if (!attempt.maySend()) {
            established.release();
            attempt.ended(AttemptResult.of(AttemptOutcome.NOT_SENT));
            return;
        }
        if (!request().registration().forwarded()) {
            established.release();
            attempt.ended(AttemptResult.of(AttemptOutcome.ERROR));     // by another process of this instance
            return;
        }
        isRegistered = true;
        if (request().registration().isShared() && !attempt.maySend()) {     // a file was written meanwhile
            established.release();
            end(AttemptResult.of(AttemptOutcome.NOT_SENT));
            return;
        }
        commandWritten = established.channel().writeAndFlush(request().command().forNode(attempt.remaining()));
        attempt.firstByteWritten();
    }

    private RespRequest request() {
        return (RespRequest) attempt.request().message();
    }

    @Override public void received(PooledConnection on, Object message) {
        if (message instanceof StreamedValueSplitter.Head head) {
            value = new StreamedValue(head.length(), on.channel(), ticker);
            partialMessage(on);
            scheduleAnnouncement();
        } else if (message == StreamedValueSplitter.ShortHead.INSTANCE) {
            isShort = true;
            cancelTimers();
            stallTimer = null;
            partialMessage(on);
        } else if (message instanceof ByteBuf bytes) {
            attempt.progressed();
            partialMessage(on);
            if (value.append(bytes)) {
                announce();
            }
        } else {
            reply(on, (RedisMessage) message);
        }
    }

    /** A long value meets its deadline by its first byte, so its announcement must not wait for a node that is slow. */
    private void scheduleAnnouncement() {
        double delay = Math.min(MAX_BUFFERING_MS, attempt.remaining() - FORWARDING_MARGIN_MS);
        if (delay > 0) {
            announcementTimer = ticker.after(delay, this::announce);
        } else {
            announce();
        }
    }

    /** Passes the value on to the client: the attempt has no timeout from now on. */
    private void announce() {
        if (!value.isAnnounced()) {
            attempt.responseStarted();
            value.announce(request().receiver());
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
            failReply();
            return;
        }
        cancelTimers();
        if (value != null) {
            value.complete();
        }
        on.release();
        end(result);
    }

    private void end(AttemptResult result) {
        if (isRegistered && result.outcome().provesNotExecuted()) {
            request().registration().provedNotExecuted();
        }
        attempt.ended(result);
    }

    /** Ends the attempt after a malformed or stalled reply: the request was executed, and the connection is not reusable. */
    private void failReply() {
        logGivenUp("malformed or stalled reply");
        close();
        attempt.ended(failure(AttemptOutcome.ERROR));
    }

    /** Returns the result of a failed attempt, marked as already streaming if the client may have part of the value. */
    private AttemptResult failure(AttemptOutcome outcome) {
        return AttemptResult.of(outcome, null, isValueAnnounced());
    }

    private boolean isValueAnnounced() {
        return value != null && value.isAnnounced();
    }

    /** Starts the stall timer, which ends a reply that stops early, such as one shorter than its announced length. */
    @Override public void partialMessage(PooledConnection on) {
        incompleteSince = ticker.now();
        if (stallTimer == null) {
            stallTimer = ticker.after(stallTimeout(), this::checkStall);
        }
    }

    private double stallTimeout() {
        if (isValueAnnounced()) {
            return STREAM_STALL_TIMEOUT_MS;
        }
        return isShort ? SHORT_VALUE_STALL_TIMEOUT_MS : HEAD_STALL_TIMEOUT_MS;
    }

    private void checkStall() {
        boolean streaming = isValueAnnounced();
        double stalled = streaming ? value.stalledMs() : ticker.now() - incompleteSince;
        double timeout = stallTimeout();
        if (stalled < timeout) {
            stallTimer = ticker.after(timeout - stalled, this::checkStall);
        } else if (streaming && value.waitsForClient()) {
            value.clientStalled();     // no effect if an earlier reply on the client connection is what is stalled
            stallTimer = ticker.after(STREAM_STALL_TIMEOUT_MS, this::checkStall);
        } else {
            failReply();
        }
    }

    /**
     * If the connection ends before the command was completely written, the attempt was not executed. Undecodable data in
     * place of a reply is reported as an error, not as a connection failure that suggests a dead node.
     */
    @Override public void connectionFailed(PooledConnection on, Throwable cause) {
        cancelTimers();
        boolean notExecuted = commandWritten == null || !commandWritten.isSuccess();
        discardUnannounced();
        logGivenUp("the connection ended" + (cause == null ? "" : ": " + cause.getMessage()));
        if (cause instanceof CodecException) {
            attempt.ended(failure(AttemptOutcome.ERROR));
        } else {
            end(failure(notExecuted ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET));
        }
    }

    private void cancelTimers() {
        if (stallTimer != null) {
            stallTimer.cancel();
        }
        if (announcementTimer != null) {
            announcementTimer.cancel();
        }
    }

    /** Logs a reply that had begun and is not awaited any more. */
    private void logGivenUp(String why) {
        if (value != null) {
            log.info(ticker.now(), () -> attempt + ": " + value + ": " + why);
        }
    }

    /** Cancels the attempt: its time is over, or its client has left. */
    void cancel() {
        logGivenUp("cancelled");
        if (isRegistered && !commandWritten.isSuccess()) {
            request().registration().provedNotExecuted();
        }
        close();
    }

    /** Closes the connection, which tells the node that its reply is no longer awaited. */
    private void close() {
        cancelTimers();
        discardUnannounced();
        if (connection != null) {
            connection.close();
        }
    }

    /** Discards a value that has not been announced; an announced one is discarded by its receiver. */
    private void discardUnannounced() {
        if (value != null && !value.isAnnounced()) {
            value.discard();
        }
    }
}
