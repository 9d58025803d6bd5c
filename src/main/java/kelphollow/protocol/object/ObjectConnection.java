package kelphollow.protocol.object;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import kelphollow.routing.Invariant;

/**
 * One client's connection, with one exchange at a time. It reads only when something is demanded, so that no body piles up.
 * Content that no exchange takes is released here. For the event loop alone.
 */
final class ObjectConnection extends ChannelInboundHandlerAdapter {
    private final ObjectFront front;
    private final ObjectServices services;
    private final Channel channel;
    private final DemandQueue inbound;
    private final ConnectionIdleTracker idleTracker;
    private ObjectExchange current;
    /** The head of the next request, which waits for its turn. */
    private HttpRequest next;
    /** Whether the read that is going on has brought a message. */
    private boolean readMessage;

    ObjectConnection(ObjectFront front, ObjectServices services, Channel channel) {
        this.front = front;
        this.services = services;
        this.channel = channel;
        this.inbound = new DemandQueue(channel, this::handle);
        this.idleTracker = new ConnectionIdleTracker(services.ticker(), services.options().stallTimeout());
    }

    /** Guards descriptors against clients that connect and then request nothing, or send half a head. */
    void scheduleIdleCheck() {
        double delay = isIdle() ? idleTracker.remaining() : services.options().stallTimeout();
        services.ticker().after(delay, () -> {
            if (isIdle() && idleTracker.hasExpired()) {
                close();
            } else if (channel.isOpen()) {
                scheduleIdleCheck();
            }
        });
    }

    Channel channel() {
        return channel;
    }

    /** Whether connections close once they are owed nothing. */
    boolean isShuttingDown() {
        return front.isShuttingDown();
    }

    /** Demands one more message; it may be demanded while another is being handed over. */
    void demand() {
        inbound.demand();
    }

    @Override public void channelActive(ChannelHandlerContext context) {
        demand();
    }

    @Override public void channelRead(ChannelHandlerContext context, Object message) {
        readMessage = true;
        inbound.add(message);
    }

    /** Guards against a head that comes in several segments: a read that made no message must go on. */
    @Override public void channelReadComplete(ChannelHandlerContext context) {
        if (!readMessage && isIdle()) {
            idleTracker.partialHead();
        }
        readMessage = false;
        if (inbound.hasUnmetDemand()) {
            channel.read();
        }
    }

    private void handle(Object message) {
        if (message instanceof HttpRequest request) {
            idleTracker.completeHead();
            next = request;
            if (current == null) {
                scheduleBegin();
            } else {
                channel.read();      // sent ahead; it waits its turn, and meanwhile the client's going away is seen
            }
        } else if (message instanceof HttpContent content && current != null && !current.isBodyRead()) {
            current.chunk(content);
        } else {
            ReferenceCountUtil.release(message);
            demand();
        }
    }

    /**
     * Begins the next request after one more read: by then it is known whether the client's end came right behind. Guards
     * against forwarding requests of a client that has gone. What else the read brings waits for its demand.
     */
    private void scheduleBegin() {
        channel.read();
        SingleThreadEventLoop loop = (SingleThreadEventLoop) channel.eventLoop();
        loop.executeAfterEventLoopIteration(() -> loop.execute(() -> {
            if (next != null && current == null && channel.isActive()) {
                HttpRequest request = next;
                next = null;
                inbound.withDeliveryDeferred(() -> begin(request));
            }
        }));
    }

    private void begin(HttpRequest request) {
        current = new ObjectExchange(services, this, request, front.nextRequestId());
        if (request.decoderResult().isFailure()) {
            current.rejectMalformed();
        } else {
            current.begin();
        }
    }

    /** The exchange has its response; what is left of its body is read away, or the connection closes. */
    void exchangeFinished(boolean keepAlive) {
        boolean bodyRead = current.isBodyRead();
        current = null;
        idleTracker.restart();
        if (!keepAlive || !bodyRead || front.isShuttingDown()) {
            close();
        } else if (next != null) {
            scheduleBegin();
        } else {
            demand();
        }
    }

    /** No request is open and none waits for its turn. */
    boolean isIdle() {
        return current == null && next == null;
    }

    /** In milliseconds on the ticker's clock. */
    double idleSince() {
        return idleTracker.idleSince();
    }

    void closeIfIdle() {
        if (isIdle()) {
            close();
        }
    }

    /** Closes it once the last response has left; what crosses that is not taken. */
    void close() {
        next = null;
        if (front.remove(this)) {
            front.lingeringClose(channel);
        }
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (current != null && channel.isWritable()) {
            current.writable();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext context) {
        inbound.release();
        front.remove(this);
        next = null;
        if (current != null) {
            current.disconnected();
            current = null;
        }
        front.checkShutdown();
    }

    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
        Invariant.holds(cause instanceof IOException, "a client's connection ends by a fault of ours: " + cause);
    }
}
