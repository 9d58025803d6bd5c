package kelphollow.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import kelphollow.routing.Ticker;
import kelphollow.transport.HttpCall.Failure;
import kelphollow.transport.HttpCall.ResponseHandler;

/**
 * One connection of {@link HttpCall} and the call that it carries, if any. A response is released once its handler has
 * returned; a request is released by the channel that writes it, or by {@link #close} if it was not written. Confined
 * to the event loop.
 */
final class HttpCallConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private enum State {
        /** The call waits for the connection. */
        CONNECTING,
        /** The request has been written, and nothing has been received. */
        AWAITING_RESPONSE,
        /** Bytes have been received since the request was written. */
        RESPONSE_BEGUN,
        /** The response has been received; the connection may carry the next call after the reuse delay. */
        IDLE,
        /** The connection carries no more calls, though it may still be connecting. */
        CLOSED;

        boolean carriesCall() {
            return this == CONNECTING || this == AWAITING_RESPONSE || this == RESPONSE_BEGUN;
        }
    }

    private static final int MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Time after a response in which the connection carries no further call: a second response may follow the first. */
    private static final double REUSE_DELAY_MS = 20;

    private final EventLoop loop;
    private final Ticker ticker;
    private final InetSocketAddress address;
    private State state = State.CONNECTING;
    private Channel channel;
    private ResponseHandler handler;
    private FullHttpRequest unsent;
    private Ticker.Timeout timeout;
    private double respondedAt;

    HttpCallConnection(EventLoop loop, Ticker ticker, InetSocketAddress address) {
        this.loop = loop;
        this.ticker = ticker;
        this.address = address;
    }

    /** Whether the last call got its response, the connection is still open and the reuse delay is over. */
    boolean mayCarryNext() {
        return state == State.IDLE && channel.isActive() && ticker.now() - respondedAt >= REUSE_DELAY_MS;
    }

    /** Carries a call; the first call connects. See {@link HttpCall#send}. */
    void carry(FullHttpRequest request, double timeoutAfter, ResponseHandler next) {
        handler = next;
        unsent = request;
        timeout = ticker.after(timeoutAfter, this::timedOut);
        if (channel == null) {
            connect();
        } else {
            write();
        }
    }

    private void connect() {
        channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, Server.ALLOCATOR)
            .handler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel connecting) {
                    connecting.pipeline().addLast(new FirstByteDetector(), new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_RESPONSE_BODY_BYTES), HttpCallConnection.this);
                }
            })
            .connect(address).addListener(connect -> {
                if (!connect.isSuccess()) {
                    fail(Failure.CONNECTION_FAILED, String.valueOf(connect.cause().getMessage()));
                }
            }).channel();
    }

    private void write() {
        FullHttpRequest request = unsent;
        unsent = null;
        state = State.AWAITING_RESPONSE;
        channel.writeAndFlush(request);
    }

    private void timedOut() {
        fail(channel.isActive() ? Failure.TIMED_OUT : Failure.CONNECTION_FAILED, "no answer in time");
    }

    /** Fails the call, if any. A response that had begun shows that the service is reachable, however the response ended. */
    private void fail(Failure failure, String reason) {
        if (!state.carriesCall()) {
            return;
        }
        Failure reported = state == State.RESPONSE_BEGUN ? Failure.INVALID_RESPONSE : failure;
        ResponseHandler failed = handler;
        close();
        failed.callFailed(reported, reason);
    }

    private void complete(FullHttpResponse response) {
        ResponseHandler completed = handler;
        if (HttpUtil.isKeepAlive(response)) {
            timeout.cancel();
            handler = null;
            state = State.IDLE;
            respondedAt = ticker.now();
        } else {
            close();
        }
        completed.responseReceived(response.status().code(), response.content().toString(StandardCharsets.UTF_8));
    }

    /** Abandons the call, if any, and closes the connection, even while it is being established. */
    void close() {
        state = State.CLOSED;
        handler = null;
        timeout.cancel();
        if (unsent != null) {
            unsent.release();
            unsent = null;
        }
        channel.close();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        if (state == State.CONNECTING) {
            write();
        }
    }

    @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (!state.carriesCall()) {
            ctx.close();               // an unsolicited response
        } else if (response.decoderResult().isFailure()) {
            fail(Failure.INVALID_RESPONSE, "response is not valid HTTP");
        } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {   // the final response follows a 1xx
            complete(response);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        fail(Failure.CONNECTION_FAILED, "connection ended");
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            fail(Failure.CONNECTION_FAILED, "connection reset");
        } else {
            fail(Failure.INVALID_RESPONSE, String.valueOf(cause.getMessage()));
        }
        ctx.close();
    }

    /** Detects that a response has begun, before it is decoded; passes every message on without releasing it. */
    private final class FirstByteDetector extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (state == State.AWAITING_RESPONSE) {
                state = State.RESPONSE_BEGUN;
            }
            ctx.fireChannelRead(message);
        }
    }
}
