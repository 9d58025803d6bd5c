package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Set;
import javax.xml.stream.XMLStreamException;
import kelphollow.routing.ResponseCallback;
import kelphollow.routing.Request;
import kelphollow.routing.Ticker;

/** One request of a client, from its head to the last byte of its answer. */
final class ObjectExchange implements ResponseCallback, Transfer.Client {
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
        "transfer-encoding", "upgrade", "te", "trailer");

    private final ObjectFront front;
    private final ObjectClient client;
    private final HttpRequest request;
    private final String id;
    private boolean keepAlive;
    private boolean bodyRead;
    private boolean over;
    private ObjectCall call;
    private Transfer transfer;
    private Request routed;
    private ByteArrayOutputStream document;
    private PartSending part;
    private CompletionSending completion;
    private IntentBarrier intent;
    private boolean continued;
    private Ticker.Timeout stall;

    ObjectExchange(ObjectFront front, ObjectClient client, HttpRequest request) {
        this.front = front;
        this.id = front.nextId();
        this.client = client;
        this.request = request;
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    boolean isBodyRead() {
        return bodyRead;
    }

    /** The head makes no sense: nothing more is read on this connection. */
    void unreadable() {
        bodyRead = true;
        keepAlive = false;
        answer(new S3Error(400, "InvalidRequest", "The request cannot be read."));
    }

    boolean isOver() {
        return over;
    }

    ObjectCall call() {
        return call;
    }

    Transfer transfer() {
        return transfer;
    }

    void begin() {
        try {
            call = ObjectCall.read(request, front.options.largestBody());
            front.arrival(call);
        } catch (S3Error e) {
            bodyRead = !HttpUtil.isContentLengthSet(request) && !HttpUtil.isTransferEncodingChunked(request);
            answer(e);
            return;
        }
        if (call.op() == ObjectCall.Op.COMPLETE) {
            document = new ByteArrayOutputStream((int) call.length());
            read();
        } else if (call.op() == ObjectCall.Op.PART) {
            part = new PartSending(front, this);
            part.begin();
        } else {
            if (!call.op().hasBody()) {
                client.want();       // the empty end of the request, and later the client's going away
            }
            if (call.op() == ObjectCall.Op.ABORT) {
                abort();
            } else {
                send(null);
            }
        }
    }

    void send(byte[] body) {
        try {
            transfer = new Transfer(call, body, this);
            Request taken = front.router.submit(front.arrival(call), transfer, this);
            routed = over ? null : taken;
        } catch (S3Error e) {
            answer(e);
        }
    }

    private void abort() {
        intent = new IntentBarrier(front.ticker, front.options.write().deadline(), () -> send(null), this::answer);
        front.parts.aborting(UploadParts.upload(call), intent::recorded);
    }

    // ------------------------------------------------------------ the body

    @Override public void read() {
        if (!continued && HttpUtil.is100ContinueExpected(request)) {
            client.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        continued = true;
        stall = front.ticker.after(front.options.stall(), () -> {
            if (!over) {
                withdraw();
                keepAlive = false;
                answer(new S3Error(400, "RequestTimeout", "Your body stood still for too long."));
            }
        });
        client.want();
    }

    void piece(HttpContent content) {
        if (stall != null) {
            stall.cancel();
        }
        boolean last = content instanceof LastHttpContent;
        bodyRead = last;
        ByteBuf bytes = content.content();
        if (content.decoderResult().isFailure()) {
            content.release();
            withdraw();
            keepAlive = false;
            answer(new S3Error(400, "IncompleteBody", "The body cannot be read."));
        } else if (document != null) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            content.release();
            document.writeBytes(copy);
            if (last) {
                byte[] whole = document.toByteArray();
                document = null;
                completion = new CompletionSending(front, this, whole);
                completion.begin();
            } else {
                read();
            }
        } else if (part != null) {
            part.piece(bytes, last);
        } else if (transfer != null && transfer.isSpent()) {
            transfer.piece(bytes, last);
        } else {
            content.release();
        }
        if (last && !over) {
            client.want();           // so that the client's going away is seen
        }
    }

    // ------------------------------------------------------------ the answer

    @Override public void head(HttpResponse head) {
        HttpResponse own = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        copy(head.headers(), own.headers());
        HttpUtil.setTransferEncodingChunked(own, !HttpUtil.isContentLengthSet(own));
        HttpUtil.setKeepAlive(own, keepAlive && front.leaving == null);
        client.channel.write(own);
    }

    @Override public void content(ByteBuf content) {
        client.channel.writeAndFlush(new DefaultHttpContent(content));
    }

    @Override public boolean isWritable() {
        return client.channel.isWritable();
    }

    @Override public void stalled() {
        client.channel.close();
    }

    void writable() {
        if (transfer != null) {
            transfer.writable();
        }
    }

    @Override public void served(Object answer) {
        if (answer == null) {
            over = true;
            client.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            client.done(keepAlive);
            return;
        }
        Transfer.Answer whole = (Transfer.Answer) answer;
        try {
            note(whole);
        } catch (XMLStreamException e) {
            answer(new S3Error(502, "BadGateway", "The storage node's answer cannot be read."));
            return;
        }
        if (part != null) {
            part.served(whole);
        } else if (completion != null) {
            completion.served(whole);
        } else {
            answer(whole);
        }
    }

    /** What an answer tells of uploads. */
    private void note(Transfer.Answer whole) throws XMLStreamException {
        if (whole.status() / 100 == 2 && call.op() == ObjectCall.Op.CREATE) {
            String uploadId = S3Xml.first(whole.body(), "UploadId");
            if (uploadId != null) {
                front.parts.begun(call.bucket() + '/' + call.key() + '?' + uploadId, front.ticker.now());
            }
        } else if (whole.status() / 100 == 2 && call.op() == ObjectCall.Op.ABORT) {
            front.parts.over(UploadParts.upload(call));
        }
    }

    @Override public void rejected(double after, boolean timedOut) {
        end(timedOut ? S3Error.failed(true) : S3Error.rejected(after), timedOut);
    }

    @Override public void failed(boolean timedOut) {
        end(S3Error.failed(timedOut), true);
    }

    private void end(S3Error error, boolean mayHaveRun) {
        if (part != null) {
            part.ended(error);
        } else if (completion != null) {
            completion.failed(error, mayHaveRun);
        } else {
            answer(error);
        }
    }

    void answer(Transfer.Answer whole) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(whole.status()), Unpooled.wrappedBuffer(whole.body()));
        copy(whole.headers(), response.headers());
        if (!request.method().equals(HttpMethod.HEAD) && whole.status() != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, whole.body().length);
        }
        write(response);
    }

    /** An answer that has begun can't become an error: its connection closes, so that the client sees it is short. */
    void answer(S3Error error) {
        if (transfer != null && transfer.isHeadPassed()) {
            over = true;
            client.channel.close();
            return;
        }
        byte[] body = S3Xml.error(error, request.uri(), id);
        boolean bare = request.method().equals(HttpMethod.HEAD);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, error.status,
            bare ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_XML)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (error.retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, (long) Math.ceil(error.retryAfter / 1000));
        }
        write(response);
    }

    void write(FullHttpResponse response) {
        if (over) {
            response.release();
            return;
        }
        over = true;
        if (stall != null) {
            stall.cancel();
        }
        boolean keep = keepAlive && bodyRead && front.leaving == null;
        HttpUtil.setKeepAlive(response, keep);
        client.channel.writeAndFlush(response);
        client.done(keep);
    }

    private void copy(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            if (!HOP_BY_HOP.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    void gone() {
        over = true;
        if (stall != null) {
            stall.cancel();
        }
        withdraw();
    }

    /** Nothing is owed to the client any more. */
    private void withdraw() {
        if (intent != null) {
            intent.callOff();
        }
        if (routed != null) {
            front.router.clientDisconnected(routed);
            routed = null;
        }
        if (part != null) {
            part.withdrawn();
        }
        if (completion != null) {
            completion.withdrawn(transfer != null);
        }
    }
}
