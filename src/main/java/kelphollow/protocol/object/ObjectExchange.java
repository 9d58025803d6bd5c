package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import javax.xml.stream.XMLStreamException;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.Request;
import kelphollow.routing.ResponseCallback;
import kelphollow.routing.Ticker;
import kelphollow.transport.CloseReason;

/**
 * One request of a client, from its head to the last byte of its response. Chunks of the body are released here, by {@link
 * PartForwarding} or by {@link Transfer}; content of the response is released by its write. Confined to the event loop.
 */
final class ObjectExchange implements ResponseCallback, Transfer.Client {
    /** How much of the client's body was read. */
    private enum Body {
        /** None of it was requested. */
        UNREAD,
        /** Some of it was requested, after a "100 Continue" if the client expects one. */
        REQUESTED,
        /** All of it was read, or there is none. */
        READ
    }

    private final ObjectServices services;
    private final ObjectConnection connection;
    private final HttpRequest request;
    private final String id;
    private Body body = Body.UNREAD;
    private boolean keepAlive;
    /** Whether the response is complete or no longer awaited. */
    private boolean finished;
    private ObjectCall call;
    private Transfer transfer;
    private Request routed;
    /** The body of a CompleteMultipartUpload, collected until it is complete. */
    private ByteArrayOutputStream document;
    private PartForwarding part;
    private AtMostOnceForwarding forwarding;
    private IntentBarrier abortIntent;
    private Ticker.Timeout stallTimer;

    /** {@code id} identifies the request in an error response. */
    ObjectExchange(ObjectServices services, ObjectConnection connection, HttpRequest request, String id) {
        this.services = services;
        this.connection = connection;
        this.request = request;
        this.id = id;
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    boolean isBodyRead() {
        return body == Body.READ;
    }

    /** Whether the request has a body of which nothing was requested yet. */
    boolean isBodyUnread() {
        return body == Body.UNREAD && !finished;
    }

    /** Identifies the request in an error response and in the log. */
    String id() {
        return id;
    }

    boolean isFinished() {
        return finished;
    }

    ObjectCall call() {
        return call;
    }

    /** The transfer that was submitted to the router, or null. */
    Transfer transfer() {
        return transfer;
    }

    /** Rejects a request whose head is malformed; nothing more is read from this connection. */
    void rejectMalformed() {
        body = Body.READ;
        keepAlive = false;
        respond(new S3Error(400, "InvalidRequest", "The request cannot be read."));
    }

    void begin() {
        try {
            call = ObjectCall.parse(request, services.options().maxBodyBytes());
            services.mapper().arrival(call);
        } catch (S3Error e) {
            boolean hasBody = HttpUtil.isContentLengthSet(request) || HttpUtil.isTransferEncodingChunked(request);
            body = hasBody ? Body.UNREAD : Body.READ;
            respond(e);
            return;
        }
        switch (call.op()) {
            case COMPLETE -> {
                document = new ByteArrayOutputStream((int) call.length());
                read();
            }
            case PART -> {
                part = new PartForwarding(services, this);
                forwarding = part;
                part.begin();
            }
            case ABORT -> {
                connection.demand();
                abort();
            }
            default -> {
                if (!call.op().hasBody()) {
                    connection.demand();   // the empty last chunk, and a later disconnect
                }
                send(null);
            }
        }
    }

    /** Submits the call to the router; {@code complete} is its body, or null if it is streamed or there is none. */
    void send(byte[] complete) {
        transfer = new Transfer(call, complete, this);
        RequestArrived arrival;
        try {
            arrival = services.mapper().arrival(call);
        } catch (S3Error e) {
            respond(e);
            return;
        }
        Request submitted = services.router().submit(arrival, transfer, this);
        routed = finished ? null : submitted;
    }

    private void abort() {
        abortIntent = new IntentBarrier(services.ticker(), services.writeDeadline(), () -> send(null), this::respond);
        services.parts().recordAbort(UploadParts.uploadKey(call), abortIntent::recorded);
    }

    // ------------------------------------------------------------ request body

    @Override public void read() {
        if (body == Body.UNREAD) {
            body = Body.REQUESTED;
            if (HttpUtil.is100ContinueExpected(request)) {
                connection.channel().writeAndFlush(HttpResponses.continueResponse());
            }
        }
        stallTimer = services.ticker().after(services.options().stallTimeout(), () -> {
            if (!finished) {
                rejectBody("RequestTimeout", "Your body stood still for too long.");
            }
        });
        connection.demand();
    }

    private void rejectBody(String code, String message) {
        cancelRequest();
        keepAlive = false;
        respond(new S3Error(400, code, message));
    }

    /** Handles the next chunk of the body, and takes ownership of it. */
    void chunk(HttpContent content) {
        cancelStallTimer();
        boolean last = content instanceof LastHttpContent;
        if (last) {
            body = Body.READ;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            rejectBody("IncompleteBody", "The body cannot be read.");
        } else if (document != null) {
            collect(content, last);
        } else if (part != null) {
            part.chunk(content.content(), last);
        } else if (transfer != null && transfer.isBodyConsumed()) {
            transfer.chunk(content.content(), last);
        } else {
            content.release();
        }
        if (last && !finished) {
            connection.demand();     // to detect a disconnect
        }
    }

    private void collect(HttpContent content, boolean last) {
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        content.release();
        document.writeBytes(bytes);
        if (!last) {
            read();
            return;
        }
        byte[] complete = document.toByteArray();
        document = null;
        CompletionForwarding completion = new CompletionForwarding(services, this, complete);
        forwarding = completion;
        connection.afterRead(completion::begin);
    }

    // ------------------------------------------------------------ response

    @Override public void head(HttpResponse head) {
        connection.channel().write(HttpResponses.streamed(head, keepAlive && !connection.isShuttingDown()));
    }

    @Override public void content(ByteBuf content) {
        connection.channel().writeAndFlush(new DefaultHttpContent(content));
    }

    @Override public boolean isWritable() {
        return connection.channel().isWritable();
    }

    @Override public void stalled() {
        connection.abort(CloseReason.CLIENT_STALLED);
    }

    void writable() {
        if (transfer != null) {
            transfer.writable();
        }
    }

    @Override public double clientConnectedAsOf() {
        return connection.connectedAsOf();
    }

    @Override public void served(Object served) {
        if (served == null) {
            finished = true;
            connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            connection.exchangeFinished(keepAlive);
            return;
        }
        NodeResponse response = (NodeResponse) served;
        try {
            trackUpload(response);
        } catch (XMLStreamException e) {
            respond(new S3Error(502, "BadGateway", "The storage node's answer cannot be read."));
            return;
        }
        if (forwarding != null) {
            forwarding.served(response);
        } else {
            respond(response);
        }
    }

    /** Tracks uploads that were created or aborted. */
    private void trackUpload(NodeResponse response) throws XMLStreamException {
        if (!response.isSuccess()) {
            return;
        }
        if (call.op() == ObjectCall.Operation.CREATE) {
            String uploadId = S3Xml.firstText(response.body(), "UploadId");
            if (uploadId != null) {
                services.parts().uploadCreated(UploadParts.uploadKey(call, uploadId), services.now());
            }
        } else if (call.op() == ObjectCall.Operation.ABORT) {
            services.parts().uploadEnded(UploadParts.uploadKey(call));
        }
    }

    @Override public void rejected(double retryAfter, boolean timedOut) {
        fail(timedOut ? S3Error.failed(true) : S3Error.rejected(retryAfter), timedOut);
    }

    @Override public void failed(boolean timedOut) {
        fail(S3Error.failed(timedOut), true);
    }

    private void fail(S3Error error, boolean mayHaveRun) {
        if (forwarding != null) {
            forwarding.failed(error, mayHaveRun);
        } else {
            respond(error);
        }
    }

    void respond(NodeResponse response) {
        write(HttpResponses.complete(response, request.method()));
    }

    /**
     * Sends an error. A response that was begun cannot become one: the connection closes, which shows the client that the
     * response is truncated.
     */
    void respond(S3Error error) {
        if (transfer != null && transfer.download().isStarted()) {
            finished = true;
            connection.abort(CloseReason.VALUE_TRUNCATED);
        } else {
            write(HttpResponses.error(error, request, id));
        }
    }

    /** Writes the response, or releases it if one was written already. */
    void write(FullHttpResponse response) {
        if (finished) {
            response.release();
            return;
        }
        finished = true;
        cancelStallTimer();
        boolean keep = keepAlive && isBodyRead() && !connection.isShuttingDown();
        HttpUtil.setKeepAlive(response, keep);
        connection.channel().writeAndFlush(response);
        connection.exchangeFinished(keep);
    }

    // ------------------------------------------------------------ termination

    /** The client disconnected. */
    void disconnected() {
        finished = true;
        cancelStallTimer();
        cancelRequest();
    }

    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel();
        }
    }

    /** Cancels the attempts of the request. */
    private void cancelRequest() {
        if (abortIntent != null) {
            abortIntent.cancel();
        }
        if (routed != null) {
            services.router().clientDisconnected(routed);
            routed = null;
        }
        if (forwarding != null) {
            forwarding.cancelled(transfer != null);
        }
    }
}
