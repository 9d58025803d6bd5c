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

/**
 * Calls to one control-plane service over HTTP, one at a time. An answer belongs to the call whose connection brings
 * it: a connection carries the next call only after it has been quiet for a while, and one whose call was given up is
 * closed, even while it is dialled. Guards against a second or late answer that is taken for the next call's. For the
 * event loop alone.
 */
public final class HttpCall {
    /** What came of a call; exactly one of these is called, unless {@link HttpCall#close} comes first. */
    public interface Reply {
        void answered(int status, String body);

        void failed(String why);
    }

    private static final int LARGEST_ANSWER = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT = 1_000;
    // A second answer may come some milliseconds behind the first: until then a connection carries no further call.
    private static final double QUARANTINE = 20;
    private final EventLoop loop;
    private final Ticker ticker;
    private final InetSocketAddress address;
    private Connection last;

    public HttpCall(EventLoop loop, Ticker ticker, InetSocketAddress address) {
        this.loop = loop;
        this.ticker = ticker;
        this.address = address;
    }

    /** Sends a request, whose ownership it takes; gives it up after so many milliseconds. */
    public void send(FullHttpRequest request, double patience, Reply reply) {
        if (last == null || !last.mayCarryMore()) {
            close();
            last = new Connection();
        }
        last.carry(request, patience, reply);
    }

    /** Gives up what is under way without a word and closes the connection. */
    public void close() {
        if (last != null) {
            last.close();
            last = null;
        }
    }

    /** One connection, and the call it carries if any. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Reply awaited;
        private FullHttpRequest unsent;
        private Ticker.Timeout timeout;
        private double answeredAt;

        boolean mayCarryMore() {
            return awaited == null && channel.isActive() && ticker.now() - answeredAt >= QUARANTINE;
        }

        void carry(FullHttpRequest request, double patience, Reply reply) {
            awaited = reply;
            unsent = request;
            timeout = ticker.after(patience, () -> end(null, "no answer in time"));
            if (channel == null) {
                dial();
            } else {
                write();
            }
        }

        private void dial() {
            channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, Server.ALLOCATOR)
                .handler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER), Connection.this);
                    }
                })
                .connect(address).addListener(connect -> {
                    if (!connect.isSuccess()) {
                        end(null, String.valueOf(connect.cause().getMessage()));
                    }
                }).channel();
        }

        private void write() {
            FullHttpRequest request = unsent;
            unsent = null;
            channel.writeAndFlush(request);
        }

        private void end(FullHttpResponse response, String why) {
            Reply reply = awaited;
            if (reply == null) {
                return;
            }
            if (response == null || !HttpUtil.isKeepAlive(response)) {
                close();
            } else {
                timeout.cancel();
                awaited = null;
                answeredAt = ticker.now();
            }
            if (response == null) {
                reply.failed(why);
            } else {
                reply.answered(response.status().code(), response.content().toString(StandardCharsets.UTF_8));
            }
        }

        /** Nothing is awaited any more and nothing more is sent, though it may still be dialled. */
        void close() {
            awaited = null;
            timeout.cancel();
            if (unsent != null) {
                unsent.release();
                unsent = null;
            }
            channel.close();
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            if (unsent != null) {
                write();
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (awaited == null) {
                ctx.close();               // nothing was asked
            } else if (response.decoderResult().isFailure()) {
                end(null, "not HTTP");
            } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {   // 1xx: the answer follows
                end(response, null);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            end(null, "connection ended");
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(null, cause instanceof IOException ? "connection reset" : String.valueOf(cause.getMessage()));
            ctx.close();
        }
    }
}
