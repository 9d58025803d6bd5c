package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.logging.Logger;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.Attempt;
import kelphollow.routing.AttemptResult;
import kelphollow.routing.Ticker;
import kelphollow.transport.PooledConnection;

/**
 * One request and its response on a connection to an object server. Releases each message that it receives, and each chunk
 * of a body that it does not write. Content that it forwards is retained for the client's side. Confined to the event
 * loop.
 */
final class NodeExchange implements PooledConnection.ExchangeHandler, Transfer.BodySink {
    private static final Logger LOG = Logger.getLogger(NodeExchange.class.getName());
    // A server that ignores "Expect" sends no interim response; the body is then sent after this time, as RFC 9110 advises.
    private static final double CONTINUE_TIMEOUT_MS = 1_000;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Progress of the request body. */
    private enum UploadState {
        /** No chunk was requested from the client: the server may still reject the request. */
        NOT_STARTED,
        /** The next chunk was requested from the client. */
        CHUNK_REQUESTED,
        /** The last requested chunk was written. */
        CHUNK_WRITTEN
    }

    /** How the content of the response is handled. */
    private enum ResponseState {
        /** The head has not been received. */
        AWAITED,
        /** The content is collected and handed over as a whole. */
        COLLECTING,
        /** The content is forwarded as it arrives. */
        STREAMING
    }

    private final Attempt attempt;
    private final Transfer transfer;
    private final Ticker ticker;
    private final double stallTimeout;
    private PooledConnection connection;
    private ChannelFuture requestWritten;
    private UploadState uploadState = UploadState.NOT_STARTED;
    private ResponseState responseState = ResponseState.AWAITED;
    private HttpResponse head;
    private ByteArrayOutputStream collected;
    private Ticker.Timeout timer;
    private double lastProgressAt;

    NodeExchange(Attempt attempt, Ticker ticker, double stallTimeout) {
        this.attempt = attempt;
        this.transfer = (Transfer) attempt.request().message();
        this.ticker = ticker;
        this.stallTimeout = stallTimeout;
    }

    /** Sets the connection that was acquired for this exchange, which may not be established yet. */
    void connection(PooledConnection leased) {
        connection = leased;
    }

    @Override public void connected(PooledConnection ready) {
        connection = ready;
        if (!attempt.maySend() || transfer.streamsBody() && transfer.isBodyConsumed()) {
            ready.release();
            attempt.ended(AttemptResult.of(AttemptOutcome.NOT_SENT, null, transfer.isBodyConsumed()));
        } else if (transfer.streamsBody()) {
            ready.channel().writeAndFlush(NodeRequests.streamed(transfer));
            attempt.firstByteWritten();
            if (transfer.call().length() > 0) {
                timer = ticker.after(CONTINUE_TIMEOUT_MS, this::startBody);
            } else {
                startBody();
            }
        } else {
            requestWritten = ready.channel().writeAndFlush(NodeRequests.complete(transfer));
            attempt.firstByteWritten();
        }
    }

    // ------------------------------------------------------------ request body

    private void startBody() {
        if (uploadState != UploadState.NOT_STARTED || !attempt.isInFlight()) {
            return;
        }
        cancelTimer();
        lastProgressAt = ticker.now();
        uploadState = UploadState.CHUNK_REQUESTED;
        transfer.forwardBodyTo(this);
    }

    @Override public void chunk(ByteBuf chunk, boolean last) {
        uploadState = UploadState.CHUNK_WRITTEN;
        if (!attempt.isInFlight() || responseState != ResponseState.AWAITED) {
            chunk.release();
            return;
        }
        attempt.progressed();
        ChannelFuture write = connection.channel().writeAndFlush(last ? new DefaultLastHttpContent(chunk)
            : new DefaultHttpContent(chunk));
        if (last) {
            requestWritten = write;
            transfer.bodyForwarded();
            attempt.requestSent();
        } else {
            requestChunk();
        }
    }

    private void requestChunk() {
        if (uploadState == UploadState.CHUNK_WRITTEN && !transfer.isBodyForwarded() && responseState == ResponseState.AWAITED
            && connection.channel().isWritable()) {
            uploadState = UploadState.CHUNK_REQUESTED;
            transfer.requestChunk();
        }
    }

    @Override public void writable(PooledConnection on) {
        if (uploadState != UploadState.NOT_STARTED) {
            attempt.progressed();
            requestChunk();
        }
    }

    // ------------------------------------------------------------ response

    @Override public void received(PooledConnection on, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                response(response);
            }
            if (message instanceof HttpContent content && attempt.isInFlight()) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void response(HttpResponse response) {
        int status = response.status().code();
        if (response.decoderResult().isFailure()) {
            malformedResponse();
        } else if (status < FIRST_FINAL_STATUS) {
            if (status == 100 && transfer.streamsBody()) {
                startBody();
            }
        } else {
            finalResponse(response, status);
        }
    }

    private void finalResponse(HttpResponse response, int status) {
        cancelTimer();
        head = response;
        if (transfer.call().op() != ObjectCall.Operation.GET || status != 200 && status != 206) {
            responseState = ResponseState.COLLECTING;
            collected = new ByteArrayOutputStream();
            return;
        }
        responseState = ResponseState.STREAMING;
        if (!startsOrContinues(response)) {
            close();
            attempt.ended(AttemptResult.of(AttemptOutcome.ERROR, null, transfer.download().isStarted()));
            return;
        }
        lastProgressAt = ticker.now();
        watchForStall();
        attempt.responseStarted();
    }

    private boolean startsOrContinues(HttpResponse response) {
        if (transfer.download().isStarted()) {
            return transfer.download().isContinuedBy(response);
        }
        if (!transfer.download().start(response)) {
            LOG.warning(() -> attempt.target().endpoint().node() + " sent a response with an invalid Content-Range");
            return false;
        }
        transfer.head(response);
        return true;
    }

    private void content(HttpContent content) {
        if (responseState == ResponseState.AWAITED) {
            return;                // the end of an interim response
        }
        if (content.decoderResult().isFailure()) {
            connectionFailed(connection, content.decoderResult().cause());
        } else if (responseState == ResponseState.STREAMING) {
            stream(content);
        } else {
            collect(content);
        }
    }

    private void stream(HttpContent content) {
        attempt.progressed();
        lastProgressAt = ticker.now();
        if (content.content().isReadable()) {
            transfer.content(content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            finish(AttemptResult.of(AttemptOutcome.SERVED));
        } else if (!transfer.waitsForClient()) {
            connection.channel().config().setAutoRead(false);
            transfer.whenWritable(() -> {
                lastProgressAt = ticker.now();
                connection.channel().config().setAutoRead(true);
            });
        }
    }

    private void collect(HttpContent content) {
        int size = content.content().readableBytes();
        if (collected.size() + size > ObjectCall.MAX_DOCUMENT_BYTES) {
            malformedResponse();
            return;
        }
        byte[] bytes = new byte[size];
        content.content().readBytes(bytes);
        collected.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            finishCollected();
        }
    }

    private void finishCollected() {
        int status = head.status().code();
        if (status == 503 || status == 429) {
            // Rejected. Once a whole write was sent, only the server knows whether it rejected it before running it.
            boolean neverRan = transfer.call().op().isIdempotent() || transfer.streamsBody() && !transfer.isBodyForwarded();
            AttemptOutcome outcome = neverRan ? AttemptOutcome.AT_CAPACITY : AttemptOutcome.ERROR;
            finish(AttemptResult.of(outcome, null, transfer.isBodyConsumed()));
        } else if (transfer.download().isStarted()) {
            // The rest of a truncated response is unavailable, for example because the object has changed (412). Another
            // response must not be written into the middle of the first.
            finish(AttemptResult.of(AttemptOutcome.ERROR, null, true));
        } else if (status >= FIRST_SERVER_ERROR) {
            finish(AttemptResult.of(AttemptOutcome.ERROR, null, transfer.isBodyConsumed()));
        } else {
            NodeResponse response = new NodeResponse(status, head.headers(), collected.toByteArray());
            finish(AttemptResult.of(AttemptOutcome.SERVED, response, false));
        }
    }

    // ------------------------------------------------------------ termination

    private void finish(AttemptResult result) {
        cancelTimer();
        boolean sentAll = !transfer.streamsBody() || transfer.isBodyForwarded();
        if (sentAll && HttpUtil.isKeepAlive(head)) {
            connection.channel().config().setAutoRead(true);
            connection.release();
        } else {
            connection.close();
        }
        attempt.ended(result);
    }

    private void malformedResponse() {
        LOG.warning(() -> attempt.target().endpoint().node() + " sent a malformed or oversized response");
        close();
        attempt.ended(AttemptResult.of(AttemptOutcome.ERROR, null,
            transfer.isBodyConsumed() || transfer.download().isStarted()));
    }

    /** A request whose last byte was not written never ran; a body that was consumed cannot be sent again. */
    @Override public void connectionFailed(PooledConnection on, Throwable cause) {
        cancelTimer();
        boolean neverRan = requestWritten == null || !requestWritten.isSuccess();
        boolean consumed = transfer.isBodyConsumed()
            || transfer.download().isStarted() && !transfer.download().isResumable();
        if (on != null && on == connection) {
            on.close();
        }
        AttemptOutcome outcome = neverRan ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET;
        attempt.ended(AttemptResult.of(outcome, null, consumed));
    }

    private void watchForStall() {
        timer = ticker.after(stallTimeout / 2, () -> {
            if (!attempt.isInFlight()) {
                return;
            }
            if (ticker.now() - lastProgressAt < stallTimeout) {
                watchForStall();
            } else if (transfer.waitsForClient()) {
                transfer.clientStalled();
            } else {
                close();
                attempt.ended(AttemptResult.of(AttemptOutcome.TIMED_OUT, null, !transfer.download().isResumable()));
            }
        });
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Closes the connection, which tells the node that its response is no longer awaited. */
    void close() {
        cancelTimer();
        if (connection != null) {
            connection.close();
        }
    }
}
