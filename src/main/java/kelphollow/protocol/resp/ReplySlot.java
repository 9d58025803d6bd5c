package kelphollow.protocol.resp;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.Request;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResponseCallback;

/** The place of one command's reply among those of its connection. For the event loop alone. */
final class ReplySlot implements ResponseCallback, StreamedValue.Receiver {
    private final RespConnection connection;
    private final RequestIntake intake;
    private final RequestRouter router;
    /** The request while it is open and its client is there. */
    private Request request;
    /** The id that is open in the intake, or null. */
    private String id;
    /** Whether it is one of the connection's open requests. */
    private boolean counted;
    private RedisMessage reply;
    private StreamedValue value;

    ReplySlot(RespConnection connection, RequestIntake intake, RequestRouter router) {
        this.connection = connection;
        this.intake = intake;
        this.router = router;
    }

    /** The id was opened in the intake for this command. */
    void reserve(String openId) {
        id = openId;
    }

    /** Hands the request to the router, which may reply at once. */
    void submit(RequestArrived arrival, RespCommand command) {
        counted = true;
        connection.requestOpened();
        Request submitted = router.submit(arrival, new RespCall(command, this), this);
        request = reply == null ? submitted : null;
    }

    /** Whether there is something to write: a reply, or a value that streams. */
    boolean isReady() {
        return reply != null || value != null;
    }

    RedisMessage reply() {
        return reply;
    }

    /** The value that streams in place of a reply, or null. */
    StreamedValue value() {
        return value;
    }

    boolean isOpen() {
        return request != null;
    }

    void reply(RedisMessage message) {
        reply = message;
        finish();
    }

    private void finish() {
        if (counted) {
            counted = false;
            connection.requestFinished();
        }
        request = null;
        intake.release(id);
        connection.flushReplies();
    }

    @Override public void valueBegan(StreamedValue began) {
        if (request == null) {
            began.discard();           // answered or gone meanwhile, and the attempt could not be cancelled
        } else {
            value = began;
            connection.flushReplies();
        }
    }

    @Override public void served(Object answer) {
        if (value != null) {
            finish();
        } else {
            reply(RespCodec.bulk((byte[]) answer));
        }
    }

    @Override public void rejected(double retryAfter, boolean timedOut) {
        error(retryAfter > 0 ? RespWords.BUSY + " " + (long) Math.ceil(retryAfter) : RespWords.BUSY);
    }

    @Override public void failed(boolean timedOut) {
        error(RespWords.ERROR + (timedOut ? " timed out" : " failed"));
    }

    /** A value that has begun to stream can't become an error: its connection closes, so that it is seen to be truncated. */
    private void error(String error) {
        if (value != null && value.isStreaming()) {
            request = null;
            value.cutOff();
            return;
        }
        if (value != null) {
            value.discard();
            value = null;
        }
        reply(new ErrorRedisMessage(error));
    }

    /** The client has gone: nothing is owed any more. */
    void disconnected() {
        intake.release(id);
        if (request != null) {
            router.clientDisconnected(request);
            request = null;
        }
        if (value != null) {
            value.discard();
        }
    }
}
