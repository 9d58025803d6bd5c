package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
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

/** Carries attempts to object servers over HTTP. */
public final class ObjectBackend implements Backend {
    private static final Logger LOG = Logger.getLogger(ObjectBackend.class.getName());
    private static final int LARGEST_HEAD = 16 * 1024;
    private static final int LARGEST_PIECE = 16 * 1024;
    // A server that knows no "Expect" says nothing; the body then follows after this time, as HTTP advises.
    private static final double CONTINUE_WAIT = 1_000;
    private static final Set<String> PASSED = Set.of("authorization", "cache-control", "content-disposition",
        "content-encoding", "content-language", "content-md5", "content-type", "date", "expires", "host", "if-match",
        "if-modified-since", "if-none-match", "if-unmodified-since", "range", "user-agent");
    private static final Pattern CONTENT_RANGE = Pattern.compile("bytes (\\d{1,18})-(\\d{1,18})/(\\d{1,18}|\\*)");

    private final ConnectionPools pools;
    private final Ticker ticker;
    private final double stall;

    /** {@code stall} is how long a body may stand still before its attempt is given up. */
    public ObjectBackend(ConnectionPools pools, Ticker ticker, double stall) {
        this.pools = pools;
        this.ticker = ticker;
        this.stall = stall;
    }

    /** The handlers of a connection to an object server. */
    public static ChannelHandler[] codec() {
        return new ChannelHandler[] {new HttpClientCodec(LARGEST_HEAD, LARGEST_HEAD, LARGEST_PIECE)};
    }

    @Override public void start(Attempt attempt) {
        Exchange exchange = new Exchange(attempt);
        attempt.attach(exchange);
        exchange.link = pools.acquire(attempt.target().endpoint().node(), attempt.target().address(), exchange);
    }

    @Override public void cancel(Attempt attempt) {
        if (attempt.transportHandle() instanceof Exchange exchange) {
            exchange.close();
        }
    }

    @Override public void closeIdleConnections(String node) {
        pools.closeIdle(node);
    }

    /** One request and its answer on a connection. */
    private final class Exchange implements PooledConnection.User, Transfer.Sink {
        private final Attempt attempt;
        private final Transfer transfer;
        private PooledConnection link;
        private ChannelFuture written;
        private boolean bodyStarted, pieceWanted, streaming;
        private HttpResponse head;
        private ByteArrayOutputStream collected;
        private Ticker.Timeout timer;
        private double movedAt;

        Exchange(Attempt attempt) {
            this.attempt = attempt;
            this.transfer = (Transfer) attempt.request().message();
        }

        @Override public void connected(PooledConnection up) {
            link = up;
            if (!attempt.maySend() || transfer.streamsBody() && transfer.isSpent()) {
                up.release();
                attempt.ended(AttemptResult.of(AttemptOutcome.NOT_SENT, null, transfer.isSpent()));
                return;
            }
            ObjectCall call = transfer.call;
            if (transfer.streamsBody()) {
                HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri());
                headers(request.headers());
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.length());
                if (call.length() > 0) {
                    request.headers().set(HttpHeaderNames.EXPECT, "100-continue");
                }
                up.channel().writeAndFlush(request);
                if (call.length() > 0) {
                    timer = ticker.after(CONTINUE_WAIT, this::startBody);
                } else {
                    startBody();
                }
            } else {
                byte[] document = transfer.document == null ? new byte[0] : transfer.document;
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(),
                    call.uri(), Unpooled.wrappedBuffer(document));
                headers(request.headers());
                if (transfer.document != null) {
                    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, document.length);
                }
                written = up.channel().writeAndFlush(request);
            }
        }

        private void headers(HttpHeaders to) {
            for (Map.Entry<String, String> header : transfer.call.headers()) {
                String name = header.getKey().toLowerCase(Locale.ROOT);
                if (PASSED.contains(name) || name.startsWith("x-amz-")) {
                    to.add(header.getKey(), header.getValue());
                }
            }
            if (transfer.isHeadPassed()) {   // the rest of an answer that was cut, if the object is still the same
                to.set(HttpHeaderNames.RANGE, "bytes=" + (transfer.from + transfer.passed) + "-"
                    + (transfer.from + transfer.length - 1));
                to.set(HttpHeaderNames.IF_MATCH, transfer.etag);
            }
        }

        // ------------------------------------------------------------ the body goes up

        private void startBody() {
            if (bodyStarted || !attempt.isInFlight()) {
                return;
            }
            bodyStarted = true;
            cancelTimer();
            movedAt = ticker.now();
            pieceWanted = true;
            transfer.flowTo(this);
        }

        @Override public void piece(ByteBuf piece, boolean last) {
            pieceWanted = false;
            if (!attempt.isInFlight() || head != null) {
                piece.release();
                return;
            }
            attempt.progressed();
            ChannelFuture write = link.channel().writeAndFlush(last ? new DefaultLastHttpContent(piece)
                : new DefaultHttpContent(piece));
            if (last) {
                written = write;
                transfer.bodyIsWhole();
                attempt.requestSent();
            } else {
                wantPiece();
            }
        }

        private void wantPiece() {
            if (!pieceWanted && !transfer.isBodyWhole() && head == null && link.channel().isWritable()) {
                pieceWanted = true;
                transfer.more();
            }
        }

        @Override public void writable(PooledConnection on) {
            if (bodyStarted) {
                attempt.progressed();
                wantPiece();
            }
        }

        // ------------------------------------------------------------ the answer comes down

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
            if (response.decoderResult().isFailure()) {
                malformed();
                return;
            }
            int status = response.status().code();
            if (status < 200) {
                if (status == 100 && transfer.streamsBody()) {
                    startBody();
                }
                return;
            }
            cancelTimer();
            head = response;
            streaming = transfer.call.op() == ObjectCall.Op.GET && (status == 200 || status == 206);
            if (!streaming) {
                collected = new ByteArrayOutputStream();
            } else if (transfer.isHeadPassed() ? !continues(response) : !begins(response)) {
                close();
                attempt.ended(AttemptResult.of(AttemptOutcome.ERROR, null, transfer.isHeadPassed()));
            } else {
                movedAt = ticker.now();
                watchForStall();
                attempt.responseStarted();
            }
        }

        /** The beginning of an answer: it passes on with what is needed to go on with it, should it be cut. */
        private boolean begins(HttpResponse response) {
            long length = HttpUtil.getContentLength(response, -1L);
            Matcher range = CONTENT_RANGE.matcher(response.headers().get(HttpHeaderNames.CONTENT_RANGE, ""));
            if (response.status().code() == 206) {
                if (!range.matches() || length >= 0
                    && Long.parseLong(range.group(2)) - Long.parseLong(range.group(1)) + 1 != length) {
                    LOG.warning(() -> attempt.target().endpoint().node() + " gave a range that is none");
                    return false;
                }
                transfer.from = Long.parseLong(range.group(1));
            }
            transfer.length = length;
            transfer.etag = response.headers().get(HttpHeaderNames.ETAG);
            transfer.head(response);
            return true;
        }

        /** The rest of an answer: it must be the very bytes that are missing. */
        private boolean continues(HttpResponse response) {
            Matcher range = CONTENT_RANGE.matcher(response.headers().get(HttpHeaderNames.CONTENT_RANGE, ""));
            return response.status().code() == 206 && range.matches()
                && Long.parseLong(range.group(1)) == transfer.from + transfer.passed
                && Long.parseLong(range.group(2)) == transfer.from + transfer.length - 1
                && transfer.etag.equals(response.headers().get(HttpHeaderNames.ETAG));
        }

        private void content(HttpContent content) {
            if (head == null) {
                return;            // what ends an interim answer
            }
            if (content.decoderResult().isFailure()) {
                connectionFailed(link, content.decoderResult().cause());
                return;
            }
            boolean last = content instanceof LastHttpContent;
            if (streaming) {
                attempt.progressed();
                movedAt = ticker.now();
                if (content.content().isReadable()) {
                    transfer.content(content.content().retain());
                }
                if (last) {
                    finish(AttemptResult.of(AttemptOutcome.SERVED));
                } else if (!transfer.waitsForClient()) {
                    link.channel().config().setAutoRead(false);
                    transfer.whenWritable(() -> {
                        movedAt = ticker.now();
                        link.channel().config().setAutoRead(true);
                    });
                }
                return;
            }
            int size = content.content().readableBytes();
            if (collected.size() + size > ObjectCall.LARGEST_DOCUMENT) {
                malformed();
                return;
            }
            byte[] bytes = new byte[size];
            content.content().readBytes(bytes);
            collected.writeBytes(bytes);
            if (last) {
                answered();
            }
        }

        private void answered() {
            int status = head.status().code();
            boolean never = transfer.call.op().safe || transfer.streamsBody() && !transfer.isBodyWhole();
            if (status == 503 || status == 429) {
                // Turned away. Once all of a write has come, only the server knows whether that was before it ran.
                finish(AttemptResult.of(never ? AttemptOutcome.AT_CAPACITY : AttemptOutcome.ERROR, null, transfer
                    .isSpent()));
            } else if (transfer.isHeadPassed()) {
                // The rest of a cut answer is not to be had, say since the object has changed (412): another answer
                // must not be written into the middle of the first.
                finish(AttemptResult.of(AttemptOutcome.ERROR, null, true));
            } else if (status >= 500) {
                finish(AttemptResult.of(AttemptOutcome.ERROR, null, transfer.isSpent()));
            } else {
                finish(AttemptResult.of(AttemptOutcome.SERVED,
                    new Transfer.Answer(status, head.headers(), collected.toByteArray()), false));
            }
        }

        private void finish(AttemptResult result) {
            cancelTimer();
            boolean whole = !transfer.streamsBody() || transfer.isBodyWhole();
            if (whole && HttpUtil.isKeepAlive(head)) {
                link.channel().config().setAutoRead(true);
                link.release();
            } else {
                link.close();
            }
            attempt.ended(result);
        }

        private void malformed() {
            LOG.warning(() -> attempt.target().endpoint().node() + " gave an answer that cannot be read");
            close();
            attempt.ended(AttemptResult.of(AttemptOutcome.ERROR, null, transfer.isSpent() || transfer.isHeadPassed()));
        }

        // ------------------------------------------------------------ ends

        /** A request whose last byte was not written never ran; a body that was used up can't be sent again. */
        @Override public void connectionFailed(PooledConnection on, Throwable cause) {
            cancelTimer();
            boolean never = written == null || !written.isSuccess();
            boolean spent = transfer.isSpent() || transfer.isHeadPassed() && !transfer.isResumable();
            if (on != null && on == link) {
                on.close();
            }
            attempt.ended(AttemptResult.of(never ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET, null, spent));
        }

        private void watchForStall() {
            timer = ticker.after(stall / 2, () -> {
                if (attempt.isInFlight() && ticker.now() - movedAt < stall) {
                    watchForStall();
                } else if (attempt.isInFlight() && transfer.waitsForClient()) {
                    transfer.clientStalled();
                } else if (attempt.isInFlight()) {
                    close();
                    attempt.ended(AttemptResult.of(AttemptOutcome.TIMED_OUT, null, !transfer.isResumable()));
                }
            });
        }

        private void cancelTimer() {
            if (timer != null) {
                timer.cancel();
            }
        }

        void close() {
            cancelTimer();
            if (link != null) {
                link.close();
            }
        }
    }
}
