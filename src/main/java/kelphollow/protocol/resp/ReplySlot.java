package kelphollow.protocol.resp;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.Request;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResponseCallback;
import kelphollow.transport.CloseReason;

/** One command's position in its connection's reply order. Confined to the event loop. */
final class ReplySlot implements ResponseCallback, StreamedValue.Receiver {
    private final RespConnection connection;
    private final RequestIntake intake;
    private final RequestRouter router;
    /** The request while it is open and its client is connected, otherwise null. */
    private Request request;
    /** The id held open in the intake, or null. */
    private String id;
    /** Whether the request is included in the connection's number of open requests. */
    private boolean countedAsOpen;
    /** Bytes of the command that count as occupied until the slot is finished. */
    private int countedBytes;
    /** Bytes of the reply that count as held until it is written. */
    private int heldBytes;
    private RedisMessage reply;
    private StreamedValue value;

    ReplySlot(RespConnection connection, RequestIntake intake, RequestRouter router) {
        this.connection = connection;
        this.intake = intake;
        this.router = router;
    }

    /** Records the id that the intake has opened for this command; released when the command is finished. */
    void reserve(String openId) {
        id = openId;
    }

    /** Counts the command's bytes as occupied until the slot is finished; returns false if they do not fit. */
    boolean countMemory(int bytes) {
        if (connection.memory().accept(bytes)) {
            countedBytes = bytes;
            return true;
        }
        return false;
    }

    private void releaseMemory() {
        connection.memory().release(countedBytes);
        countedBytes = 0;
    }

    /** Submits the request to the router, which may reply before this returns. */
    void submit(RequestArrived arrival, RespCommand command) {
        countedAsOpen = true;
        connection.requestOpened();
        RequestRegistration registration =
            new RequestRegistration(intake.forwardedIdsFor(arrival.requestClass()), command.idText());
        Request submitted = router.submit(arrival, new RespRequest(command, this, registration), this);
        request = reply == null ? submitted : null;
    }

    /** Whether there is something to write: a reply or a streamed value. */
    boolean isReady() {
        return reply != null || value != null;
    }

    RedisMessage reply() {
        return reply;
    }

    /** The value that is streamed in place of a reply, or null. */
    StreamedValue value() {
        return value;
    }

    /** The client's id of the request, or null before it was reserved. */
    String id() {
        return id;
    }

    boolean isOpen() {
        return request != null;
    }

    void reply(RedisMessage message) {
        reply = message;
        finish();
    }

    private void finish() {
        if (countedAsOpen) {
            countedAsOpen = false;
            connection.requestFinished();
        }
        request = null;
        intake.release(id);
        releaseMemory();
        connection.flushReplies();
    }

    @Override public void valueStarted(StreamedValue started) {
        if (request == null) {
            started.discard();         // already replied to or disconnected, but the attempt could not be cancelled
        } else {
            value = started;
            connection.flushReplies();
        }
    }

    @Override public void aborted(CloseReason reason) {
        connection.abort(reason);
    }

    @Override public void served(Object response) {
        if (value != null) {
            finish();
            return;
        }
        byte[] bytes = (byte[]) response;
        if (connection.replies().isWritable(this) || hold(bytes.length)) {
            reply(RespCodec.bulk(bytes));
        } else {
            connection.replyDropped(id, bytes.length);
            failed(false);
        }
    }

    /** Counts the reply as held until it is written; returns false if it does not fit. */
    private boolean hold(int bytes) {
        if (!connection.replies().memory().tryHold(bytes)) {
            return false;
        }
        heldBytes = bytes;
        return true;
    }

    /** The reply leaves the connection's queue: it is written, or its client has disconnected. */
    void removed() {
        connection.replies().memory().release(heldBytes);
        heldBytes = 0;
    }

    @Override public double clientConnectedAsOf() {
        return connection.connectedAsOf();
    }

    @Override public void rejected(double retryAfter, boolean timedOut) {
        error(retryAfter > 0 ? RespWireNames.BUSY + " " + (long) Math.ceil(retryAfter) : RespWireNames.BUSY);
    }

    @Override public void failed(boolean timedOut) {
        error(RespWireNames.ERROR + (timedOut ? " timed out" : " failed"));
    }

    /** Replies with an error; closes the connection instead if a value is streaming, which shows the truncation. */
    private void error(String error) {
        if (value != null && value.isStreaming()) {
            request = null;
            aborted(CloseReason.VALUE_TRUNCATED);
            return;
        }
        if (value != null) {
            value.discard();
            value = null;
        }
        reply(new ErrorRedisMessage(error));
    }

    /** Cancels the request and discards its value, because the client has disconnected. */
    void disconnected() {
        intake.release(id);
        releaseMemory();
        if (request != null) {
            router.clientDisconnected(request);
            request = null;
        }
        if (value != null) {
            value.discard();
        }
    }
}
