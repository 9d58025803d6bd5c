package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.xml.stream.XMLStreamException;
import kelphollow.decision.ControlApi.Arrival;
import kelphollow.routing.Caller;
import kelphollow.routing.Core;
import kelphollow.routing.Request;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;

/** The front for clients of the object API over HTTP. */
public final class ObjectFront implements Front {
    /** A class of the settings and the time its clients wait. */
    public record Kind(String name, double deadline) { }

    /** The plan that a bucket stands on, and how many gateways its requests come through. */
    public record Bucket(String plan, int hosts) { }

    /** What an operator sets; sizes in bytes, times in milliseconds. */
    public record Options(Map<String, Bucket> buckets, Kind read, Kind write, Kind large, long bytesPerUnit,
                          double mostUnits, double usualUnits, double largeUnits, int shards, long largestBody,
                          double slowestBytesPerMilli, double stall, int parts) { }

    // Room is made at the expense of connections that have been idle for so long: none that has just come.
    private static final double SPARED = 50;
    private static final int LARGEST_LINE = 8 * 1024;
    private static final int LARGEST_HEAD = 16 * 1024;
    private static final int LARGEST_PIECE = 16 * 1024;
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
        "transfer-encoding", "upgrade", "te", "trailer");

    private final Core core;
    private final Ticker ticker;
    private final Options options;
    private final Parts parts;
    private final Set<Client> clients = new LinkedHashSet<>();
    private final double startedAt;
    private Runnable leaving;
    private long exchanges;

    public ObjectFront(Core core, Ticker ticker, Options options) {
        this.core = core;
        this.ticker = ticker;
        this.options = options;
        this.parts = new Parts(options.parts(), options.write().deadline());
        this.startedAt = ticker.now();
    }

    @Override public void accept(Channel channel) {
        channel.config().setAutoRead(false);
        channel.pipeline().addLast(new HttpServerCodec(LARGEST_LINE, LARGEST_HEAD, LARGEST_PIECE),
            new FlowControlHandler(), new Client(channel));
    }

    /** Guards usual clients against others that hold connections and ask for nothing: the longest idle one goes. */
    @Override public void makeRoom() {
        clients.stream().filter(c -> c.current == null && ticker.now() - c.idleSince >= SPARED)
            .min(Comparator.comparingDouble(c -> c.idleSince)).ifPresent(c -> c.channel.close());
    }

    @Override public void leave(Runnable whenLeft) {
        leaving = whenLeft;
        List.copyOf(clients).forEach(Client::leaveIfIdle);
        checkLeft();
    }

    private void checkLeft() {
        if (leaving != null && clients.isEmpty()) {
            leaving.run();
        }
    }

    private Arrival facts(ObjectCall call) throws S3Error {
        Bucket bucket = options.buckets().get(call.bucket());
        if (bucket == null) {
            throw new S3Error(404, "NoSuchBucket", "The specified bucket does not exist.");
        }
        long bytes = call.op().hasBody() ? call.length() : call.rangeLength();
        double units = call.op() == ObjectCall.Op.GET && bytes < 0 ? options.usualUnits()
            : Math.min(options.mostUnits(), Math.max(1, Math.ceil((double) bytes / options.bytesPerUnit())));
        Kind kind = !call.op().safe ? options.write() : units >= options.largeUnits() ? options.large() : options.read();
        double body = call.op().hasBody() ? call.length() / options.slowestBytesPerMilli() : 0;
        return new Arrival("", kind.name(), bucket.plan(), call.bucket() + '/' + call.key(),
            ticker.now() + kind.deadline() + body, call.bucket(), units, call.shard(options.shards()), bucket.hosts());
    }

    // ---------------------------------------------------------------- connections

    /** One client's connection. It reads only when something is wanted, so that no body piles up. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private Exchange current;
        private HttpRequest next;
        private boolean closing, wanting;
        private long messages;
        private double idleSince = ticker.now();

        Client(Channel channel) {
            this.channel = channel;
            clients.add(this);
            watchIdle();
        }

        /** Guards descriptors against clients that connect and then ask for nothing, or send half a head. */
        private void watchIdle() {
            long before = messages;
            ticker.after(options.stall(), () -> {
                if (current == null && messages == before) {
                    channel.close();
                } else if (channel.isOpen()) {
                    watchIdle();
                }
            });
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            wanting = true;
            channel.read();
        }

        /** Guards against a head that comes in several segments: a read that made no message must go on. */
        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            if (wanting) {
                channel.read();
            }
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            wanting = false;
            messages++;
            if (message instanceof HttpRequest request) {
                if (current != null) {
                    next = request;      // sent ahead; it waits its turn
                } else {
                    begin(request);
                }
            } else if (message instanceof HttpContent content && current != null && !current.bodyRead) {
                current.piece(content);
            } else {
                ReferenceCountUtil.release(message);
                readLater();
            }
        }

        /**
         * Asks for one more message, after the one at hand. Guards against a read that is asked for while a message
         * is being handed over: the flow control then loses it, and a part sent again stood still for good.
         */
        void readLater() {
            wanting = true;
            channel.eventLoop().execute(channel::read);
        }

        private void begin(HttpRequest request) {
            current = new Exchange(this, request);
            if (request.decoderResult().isFailure()) {
                current.bodyRead = true;
                current.keepAlive = false;
                current.answer(new S3Error(400, "InvalidRequest", "The request cannot be read."));
            } else {
                current.begin();
            }
        }

        /** The exchange has been answered; what is left of its body is read away, or the connection closes. */
        void done(ChannelFuture written, boolean keep) {
            boolean whole = current.bodyRead;
            current = null;
            idleSince = ticker.now();
            if (!keep || !whole || leaving != null) {
                closing = true;
                if (whole) {
                    written.addListener(ChannelFutureListener.CLOSE);
                } else {
                    // Closing with input unread resets the connection, and the answer may be lost with it: the
                    // client gets some time to see it and to close by itself.
                    readLater();
                    ticker.after(options.stall() / 4, channel::close);
                }
                return;
            }
            HttpRequest following = next;
            next = null;
            if (following != null) {
                begin(following);
            } else {
                readLater();
            }
        }

        void leaveIfIdle() {
            if (current == null) {
                channel.close();
            }
        }

        @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (current != null && channel.isWritable()) {
                current.writable();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            clients.remove(this);
            if (current != null) {
                current.gone();
                current = null;
            }
            checkLeft();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    // ---------------------------------------------------------------- exchanges

    /** One request of a client, from its head to the last byte of its answer. */
    private final class Exchange implements Caller, Transfer.Client {
        private final Client client;
        private final HttpRequest request;
        private final String id = Long.toString(++exchanges, 36);
        private boolean keepAlive;
        private boolean bodyRead;
        private boolean over;
        private ObjectCall call;
        private Transfer transfer;
        private Request routed;
        private ByteArrayOutputStream document;
        private PartSending part;
        private boolean continued;
        private Ticker.Timeout stall;

        Exchange(Client client, HttpRequest request) {
            this.client = client;
            this.request = request;
            this.keepAlive = HttpUtil.isKeepAlive(request);
        }

        void begin() {
            try {
                call = ObjectCall.read(request, options.largestBody());
                facts(call);
            } catch (S3Error e) {
                bodyRead = !HttpUtil.isContentLengthSet(request) && !HttpUtil.isTransferEncodingChunked(request);
                answer(e);
                return;
            }
            if (call.op() == ObjectCall.Op.COMPLETE) {
                document = new ByteArrayOutputStream((int) call.length());
                read();
            } else if (call.op() == ObjectCall.Op.PART) {
                part = new PartSending(this);
                part.begin();
            } else {
                if (!call.op().hasBody()) {
                    client.readLater();       // the empty end of the request, and later the client's going away
                }
                send(null);
            }
        }

        void send(byte[] body) {
            try {
                transfer = new Transfer(call, body, this);
                Request taken = core.take(facts(call), transfer, this);
                routed = over ? null : taken;
            } catch (S3Error e) {
                answer(e);
            }
        }

        // ------------------------------------------------------------ the body

        @Override public void read() {
            if (!continued && HttpUtil.is100ContinueExpected(request)) {
                client.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            continued = true;
            stall = ticker.after(options.stall(), () -> {
                if (!over) {
                    withdraw();
                    keepAlive = false;
                    answer(new S3Error(400, "RequestTimeout", "Your body stood still for too long."));
                }
            });
            client.readLater();
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
                    send(whole);
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
                client.readLater();           // so that the client's going away is seen
            }
        }

        // ------------------------------------------------------------ the answer

        @Override public void head(HttpResponse head) {
            HttpResponse own = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
            copy(head.headers(), own.headers());
            HttpUtil.setTransferEncodingChunked(own, !HttpUtil.isContentLengthSet(own));
            HttpUtil.setKeepAlive(own, keepAlive && leaving == null);
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
                client.done(client.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive);
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
            } else {
                answer(whole);
            }
        }

        /** What an answer tells of uploads. */
        private void note(Transfer.Answer whole) throws XMLStreamException {
            if (whole.status() / 100 == 2 && call.op() == ObjectCall.Op.CREATE) {
                String uploadId = S3Xml.first(whole.body(), "UploadId");
                if (uploadId != null) {
                    parts.begun(call.bucket() + '/' + call.key() + '?' + uploadId);
                }
            } else if (whole.status() / 100 == 2
                && (call.op() == ObjectCall.Op.COMPLETE || call.op() == ObjectCall.Op.ABORT)) {
                parts.over(Parts.upload(call));
            }
        }

        @Override public void refused(double after, boolean timedOut) {
            end(timedOut ? S3Error.failed(true) : S3Error.refused(after));
        }

        @Override public void failed(boolean timedOut) {
            end(S3Error.failed(timedOut));
        }

        private void end(S3Error error) {
            if (part != null) {
                part.failed(error);
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

        private void write(FullHttpResponse response) {
            if (over) {
                response.release();
                return;
            }
            over = true;
            if (stall != null) {
                stall.cancel();
            }
            boolean keep = keepAlive && bodyRead && leaving == null;
            HttpUtil.setKeepAlive(response, keep);
            client.done(client.channel.writeAndFlush(response), keep);
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
            if (routed != null) {
                core.gone(routed);
                routed = null;
            }
            if (part != null) {
                part.withdrawn();
            }
        }
    }

    // ---------------------------------------------------------------- parts

    /**
     * A client's sending of one part. It is passed on only if the part cannot have been written yet; otherwise its
     * content is read and compared with what was written, and the client gets the recorded answer or a conflict.
     */
    private final class PartSending implements Parts.Waiter {
        private final Exchange exchange;
        private final MessageDigest digest = Parts.digest();
        private Parts.Part part;
        private boolean sender, asking;
        private Parts.State before;
        private long size;
        private Request asked;
        private Parts.End end;
        private Parts.Print print;

        PartSending(Exchange exchange) {
            this.exchange = exchange;
        }

        void begin() {
            part = parts.find(exchange.call, ticker.now());
            if (part == null) {
                exchange.answer(S3Error.refused(1));
                return;
            }
            switch (part.state) {
                case BUSY -> compareWith(null);
                case STORED -> compareWith(new Parts.End(part.print, part.etag, null));
                case UNKNOWN -> ask();
                case ASK -> {
                    if (parts.isNew(exchange.call)) {
                        passOn();
                    } else {
                        ask();
                    }
                }
            }
        }

        private void passOn() {
            part.state = Parts.State.BUSY;
            sender = true;
            exchange.send(null);
        }

        /** Reads the body away; it is answered once it is whole and the end of the first sending is known. */
        private void compareWith(Parts.End known) {
            end = known;
            if (end == null) {
                part.join(this);
            }
            exchange.read();
        }

        void piece(ByteBuf bytes, boolean last) {
            digest.update(bytes.nioBuffer());
            size += bytes.readableBytes();
            if (last) {
                print = new Parts.Print(size, Parts.hex(digest));
            }
            if (sender) {
                exchange.transfer.piece(bytes, last);
            } else {
                bytes.release();
                if (last) {
                    compare();
                } else {
                    exchange.read();
                }
            }
        }

        @Override public void ended(Parts.End known) {
            end = known;
            compare();
        }

        private void compare() {
            if (end == null || print == null || exchange.over) {
                return;
            }
            if (end.error() != null) {
                exchange.answer(end.error());
            } else if (end.print().equals(print)) {
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    Unpooled.EMPTY_BUFFER);
                response.headers().set(HttpHeaderNames.ETAG, end.etag()).set(HttpHeaderNames.CONTENT_LENGTH, 0);
                exchange.write(response);
            } else {
                exchange.answer(new S3Error(409, "OperationAborted",
                    "This part has been sent with other content, which is stored or may be."));
            }
        }

        // ------------------------------------------------------------ the node is asked what it has

        private void ask() {
            // What is not remembered may have been sent by the life before, whose attempts ended when this one began.
            double unknownSince = part.state == Parts.State.UNKNOWN ? part.unknownSince : startedAt;
            boolean mayBeYet = ticker.now() - unknownSince < options.write().deadline();
            before = part.state;
            part.state = Parts.State.BUSY;
            asking = true;
            ObjectCall list = exchange.call.listThisPart();
            try {
                Request taken = core.take(facts(list), new Transfer(list, null, exchange), new Caller() {
                    @Override public void served(Object answer) {
                        asking = false;
                        listed((Transfer.Answer) answer, unknownSince, mayBeYet);
                    }

                    @Override public void refused(double after, boolean timedOut) {
                        asking = false;
                        release(timedOut ? S3Error.failed(true) : S3Error.refused(after));
                    }

                    @Override public void failed(boolean timedOut) {
                        asking = false;
                        release(S3Error.failed(timedOut));
                    }
                });
                asked = asking ? taken : null;
            } catch (S3Error e) {
                release(e);
            }
        }

        private void listed(Transfer.Answer answer, double unknownSince, boolean mayBeYet) {
            if (answer.status() != 200) {
                release(null);
                exchange.answer(answer);
                return;
            }
            S3Xml.Part stored;
            try {
                stored = S3Xml.parts(answer.body()).get(exchange.call.partNumber());
            } catch (XMLStreamException e) {
                release(S3Error.failed(false));
                return;
            }
            if (stored != null) {
                Parts.Print content = new Parts.Print(stored.size(), stored.etag().replace("\"", ""));
                part.stored(content, stored.etag());
                compareWith(new Parts.End(content, stored.etag(), null));
            } else if (mayBeYet) {
                // The attempt whose end is unknown may still be at work; sending another now could store it twice.
                release(S3Error.refused(unknownSince + options.write().deadline() - ticker.now()));
            } else {
                passOn();
            }
        }

        /** The question had no answer: all is as before it. */
        private void release(S3Error error) {
            S3Error told = error == null ? S3Error.refused(1) : error;
            if (before == Parts.State.UNKNOWN) {
                part.unknown(part.unknownSince, told);
            } else {
                part.forget(told);
            }
            if (error != null) {
                exchange.answer(error);
            }
        }

        // ------------------------------------------------------------ this sending ends

        void served(Transfer.Answer answer) {
            sender = false;
            String etag = answer.headers().get(HttpHeaderNames.ETAG);
            if (answer.status() == 200 && etag != null && print != null) {
                part.stored(print, etag);
            } else if (answer.status() / 100 == 4) {
                part.forget(S3Error.refused(1));
            } else {
                part.unknown(ticker.now(), S3Error.failed(false));
            }
            exchange.answer(answer);
        }

        void failed(S3Error error) {
            sender = false;
            if (exchange.transfer.isBodyWhole()) {
                part.unknown(ticker.now(), error);
            } else {
                part.forget(error);
            }
            exchange.answer(error);
        }

        void withdrawn() {
            if (sender) {
                failedSilently();
            } else if (asking) {
                asking = false;
                core.gone(asked);
                release(null);
            } else if (part != null) {
                part.leave(this);
            }
        }

        private void failedSilently() {
            sender = false;
            if (exchange.transfer != null && exchange.transfer.isBodyWhole()) {
                part.unknown(ticker.now(), S3Error.failed(false));
            } else {
                part.forget(S3Error.refused(1));
            }
        }
    }
}
