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
import kelphollow.transport.CloseReason;
import kelphollow.transport.ReadProgress;
import kelphollow.transport.SocketInput;

/**
 * A client's connection, with one exchange at a time. It reads on demand, so that bodies do not pile up in memory. While a
 * request waits to be forwarded, it reads ahead as far as {@link kelphollow.transport.ClientMemory} allows: a client's
 * disconnect is only detected behind all that it has sent. Content that no exchange takes is released here. Confined to the
 * event loop.
 */
final class ObjectConnection extends ChannelInboundHandlerAdapter {
    /** Time after which reading ahead is tried again once memory did not allow it. */
    private static final double READ_AHEAD_RETRY_MS = 50;
    /** A client that sends its body slowly must not wait until it has sent all that may be read ahead. */
    private static final double MAX_BEGIN_DELAY_MS = 100;

    private final ObjectFront front;
    private final ObjectServices services;
    private final Channel channel;
    private final DemandQueue inbound;
    private final ReadProgress progress;
    private final ConnectionIdleTracker idleTracker;
    private ObjectExchange current;
    /** The head of a pipelined request that waits for the current exchange to end. */
    private HttpRequest next;
    /** Clock time at which a request was read that found the connection idle and nothing queued. */
    private double arrivedAt = Double.NEGATIVE_INFINITY;
    /** Whether the current read has yielded a message. */
    private boolean readMessage;
    /** Whether anything was read since {@link #readBeforeBegin} was called last. */
    private boolean readSinceScheduled;
    /** Clock time at which the next request begins, even if its body still arrives. */
    private double beginBy;
    private boolean readAheadScheduled;
    /** Whether the connection closes or is closed; how it is read is no longer changed here. */
    private boolean closing;
    /** Why the connection is closed; null while it serves, or if the client closes it. */
    private CloseReason closeReason;

    ObjectConnection(ObjectFront front, ObjectServices services, Channel channel) {
        this.front = front;
        this.services = services;
        this.channel = channel;
        this.inbound = new DemandQueue(channel, services.clientMemory(), this::handle);
        this.progress = new ReadProgress(services.ticker(), inbound::mayReadAhead);
        this.idleTracker = new ConnectionIdleTracker(services.ticker(), services.options().stallTimeout());
    }

    /** Closes clients that send no request or only part of a head, which would otherwise hold file descriptors. */
    void scheduleIdleCheck() {
        double delay = isIdle() ? idleTracker.remaining() : services.options().stallTimeout();
        services.ticker().after(delay, () -> {
            if (isIdle() && idleTracker.hasExpired()) {
                closeIfIdle(CloseReason.IDLE);
            }
            if (channel.isOpen()) {
                scheduleIdleCheck();
            }
        });
    }

    Channel channel() {
        return channel;
    }

    /** How far the connection has been read; its handler is the first of the pipeline. */
    ReadProgress progress() {
        return progress;
    }

    /**
     * Clock time as of which the client is known to be connected. A request that found the connection idle is assumed to
     * have arrived when the loop read it, since a long body may follow it faster than it can be read.
     */
    double connectedAsOf() {
        double readToEndAt = progress.connectedAsOf();
        return channel.isActive() ? Math.max(readToEndAt, arrivedAt) : Double.NEGATIVE_INFINITY;
    }

    /** Runs a task once the read in progress has ended, unless the client disconnects before. */
    void afterRead(Runnable task) {
        ObjectExchange exchange = current;
        channel.eventLoop().execute(() -> {
            if (current == exchange) {
                task.run();
            }
        });
    }

    /** Whether connections close as soon as no response is outstanding. */
    boolean isShuttingDown() {
        return front.isShuttingDown();
    }

    /** Demands one more message. May be called while another is being delivered. */
    void demand() {
        updateReadAhead();
        inbound.demand();
    }

    @Override public void channelActive(ChannelHandlerContext context) {
        demand();
    }

    @Override public void channelRead(ChannelHandlerContext context, Object message) {
        readMessage = true;
        readSinceScheduled = true;
        if (isIdle() && inbound.isEmpty()) {
            arrivedAt = services.now();
        }
        inbound.add(message);
        updateReadAhead();
    }

    /** Reads on if the read yielded no message, as happens when a head arrives in several segments. */
    @Override public void channelReadComplete(ChannelHandlerContext context) {
        if (!readMessage && isIdle()) {
            idleTracker.partialHead();
        }
        readMessage = false;
        if (inbound.hasUnmetDemand()) {
            channel.read();
        }
    }

    /** Reads on while the current request waits with its body unread, or the next one waits to begin. */
    private void updateReadAhead() {
        if (closing) {
            return;
        }
        boolean waits = next != null || current != null && current.isBodyUnread();
        boolean readsAhead = waits && inbound.mayReadAhead();
        if (readsAhead != channel.config().isAutoRead()) {
            channel.config().setAutoRead(readsAhead);
            if (inbound.hasUnmetDemand()) {
                channel.read();                // the end of automatic reading has cancelled the pending read
            }
        }
        if (waits && !readsAhead && !readAheadScheduled) {
            readAheadScheduled = true;
            services.ticker().after(READ_AHEAD_RETRY_MS, () -> {
                readAheadScheduled = false;
                updateReadAhead();
            });
        }
    }

    private void handle(Object message) {
        if (message instanceof HttpRequest request) {
            idleTracker.completeHead();
            next = request;
            if (current == null) {
                scheduleBegin();
            } else {
                readToDetectDisconnect();
            }
        } else if (message instanceof HttpContent content && current != null && !current.isBodyRead()) {
            current.chunk(content);
        } else {
            ReferenceCountUtil.release(message);
            demand();
        }
    }

    /**
     * Begins the next request once a further read yields nothing, which detects a client that disconnected right after its
     * request: the request of such a client must not be forwarded. What these reads yield stays queued until demanded. If
     * it is more than may be read ahead, or arrives for too long, the request begins without the rest.
     */
    private void scheduleBegin() {
        beginBy = services.now() + MAX_BEGIN_DELAY_MS;
        readBeforeBegin();
    }

    private void readBeforeBegin() {
        readSinceScheduled = false;
        updateReadAhead();
        readToDetectDisconnect();
        SingleThreadEventLoop loop = (SingleThreadEventLoop) channel.eventLoop();
        loop.executeAfterEventLoopIteration(() -> loop.execute(() -> {
            if (next == null || current != null || !channel.isActive()) {
                return;
            }
            if (readSinceScheduled && inbound.isWithinShare() && services.now() < beginBy) {
                readBeforeBegin();
                return;
            }
            HttpRequest request = next;
            next = null;
            inbound.withDeliveryDeferred(() -> begin(request));
            updateReadAhead();
        }));
    }

    /** Reads on behind a request that waits, unless its client has much queued already. */
    private void readToDetectDisconnect() {
        if (inbound.isWithinShare()) {
            channel.read();
        }
    }

    private void begin(HttpRequest request) {
        current = new ObjectExchange(services, this, request, front.nextRequestId());
        if (request.decoderResult().isFailure()) {
            current.rejectMalformed();
        } else {
            current.begin();
        }
    }

    /** The exchange has its response. The connection closes, or what is left of the body is discarded. */
    void exchangeFinished(boolean keepAlive) {
        boolean bodyRead = current.isBodyRead();
        current = null;
        updateReadAhead();
        idleTracker.restart();
        if (!keepAlive || !bodyRead || front.isShuttingDown()) {
            close(front.isShuttingDown() ? CloseReason.SHUTDOWN : CloseReason.LAST_RESPONSE);
        } else if (next != null) {
            scheduleBegin();
        } else {
            demand();
        }
    }

    /** Whether no request is open or waiting. */
    boolean isIdle() {
        return current == null && next == null;
    }

    /** Clock time in milliseconds since which the connection has been idle. */
    double idleSince() {
        return idleTracker.idleSince();
    }

    /**
     * Closes the connection if it is idle and no request has arrived on it that was not read yet. What arrives later stays
     * unread: the reset tells the client that its request was not taken.
     */
    void closeIfIdle(CloseReason reason) {
        if (isIdle()) {
            SocketInput.readNow(channel);
        }
        if (isIdle() && !closing) {
            closesFor(reason);
            closing = true;
            inbound.release();
            remove();
            channel.close();
        }
    }

    /** Closes the connection once the last response is written; requests that arrive meanwhile are discarded. */
    private void close(CloseReason reason) {
        closesFor(reason);
        next = null;
        closing = true;
        inbound.release();
        if (remove()) {
            front.lingeringClose(channel);
        }
    }

    /** Closes the connection at once, which shows the client that the response on it is truncated. */
    void abort(CloseReason reason) {
        closesFor(reason);
        channel.close();
    }

    /** Records why the connection closes, unless a reason is known already. */
    private void closesFor(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
    }

    /** Removes the connection from its front and logs its end; returns false if that was done before. */
    private boolean remove() {
        boolean removed = front.remove(this);
        if (removed) {
            front.log().closed(closeReason == null ? CloseReason.CLIENT_DISCONNECTED : closeReason, channel.remoteAddress(),
                current == null ? "" : current.id());
        }
        return removed;
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (current != null && channel.isWritable()) {
            current.writable();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        inbound.release();
        remove();
        next = null;
        if (current != null) {
            current.disconnected();
            current = null;
        }
        front.checkShutdown();
    }

    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closesFor(CloseReason.IO_ERROR);
        context.close();
        Invariant.holds(cause instanceof IOException, "a client connection failed by an internal error: " + cause);
    }
}
