package kelphollow.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
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

/** Calls to one control-plane service over HTTP, one at a time, on a connection that is kept between them. */
public final class HttpCall {
    /** What came of a call; exactly one of these is called. */
    public interface Reply {
        void answered(int status, String body);

        void failed(String why);
    }

    private static final int LARGEST_ANSWER = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT = 1_000;
    private final EventLoop loop;
    private final Ticker ticker;
    private final InetSocketAddress address;
    private Channel channel;
    private Reply pending;
    private Ticker.Timeout timeout;

    public HttpCall(EventLoop loop, Ticker ticker, InetSocketAddress address) {
        this.loop = loop;
        this.ticker = ticker;
        this.address = address;
    }

    /** Sends a request; gives it up after so many milliseconds. */
    public void send(FullHttpRequest request, double patience, Reply reply) {
        pending = reply;
        timeout = ticker.after(patience, () -> end(null, "no answer in time"));
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(request);
            return;
        }
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT)
            .option(ChannelOption.ALLOCATOR, Server.ALLOCATOR)
            .handler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER), new Reader());
                }
            })
            .connect(address).addListener((io.netty.channel.ChannelFuture connect) -> {
                if (!connect.isSuccess()) {
                    request.release();
                    end(null, String.valueOf(connect.cause().getMessage()));
                } else if (pending != reply) {
                    request.release();
                    connect.channel().close();
                } else {
                    channel = connect.channel();
                    channel.writeAndFlush(request);
                }
            });
    }

    /** Gives up what is under way without a word and closes the connection. */
    public void close() {
        pending = null;
        if (timeout != null) {
            timeout.cancel();
        }
        if (channel != null) {
            channel.close();
        }
    }

    private void end(FullHttpResponse response, String why) {
        Reply reply = pending;
        pending = null;
        if (reply == null) {
            return;
        }
        timeout.cancel();
        if (response == null || !HttpUtil.isKeepAlive(response)) {
            if (channel != null) {
                channel.close();
            }
            channel = null;
        }
        if (response == null) {
            reply.failed(why);
        } else {
            reply.answered(response.status().code(), response.content().toString(StandardCharsets.UTF_8));
        }
    }

    private final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                end(null, "not HTTP");
            } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {   // 1xx: the answer follows
                end(response, null);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                end(null, "connection ended");
                channel = null;
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
            if (ctx.channel() == channel) {
                end(null, cause instanceof IOException ? "connection reset" : String.valueOf(cause.getMessage()));
            }
        }
    }
}
