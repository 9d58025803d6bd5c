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

/**
 * Calls to one control-plane service over HTTP, one at a time. An answer belongs to the call whose connection brings
 * it: a connection carries the next call only after it has been quiet for a while, and one whose call was given up is
 * closed, even while it is dialled. Guards against a second or late answer that is taken for the next call's. For the
 * event loop alone.
 */
public final class HttpCall {
    /** How a call failed. */
    public enum Failure {
        /** Its connection was refused, did not come up, or ended before an answer. */
        BROKEN,
        /** Nothing came in time on a connection that stood. */
        SILENT,
        /** What came is no answer. */
        UNUSABLE
    }

    /** What came of a call; exactly one of these is called, unless {@link HttpCall#close} comes first. */
    public interface Reply {
        void answered(int status, String body);

        void failed(Failure failure, String why);
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
        /** Something has come since the call was made. */
        private boolean begun;

        boolean mayCarryMore() {
            return awaited == null && channel.isActive() && ticker.now() - answeredAt >= QUARANTINE;
        }

        void carry(FullHttpRequest request, double patience, Reply reply) {
            awaited = reply;
            begun = false;
            unsent = request;
            timeout = ticker.after(patience, () -> end(channel.isActive() ? Failure.SILENT : Failure.BROKEN,
                "no answer in time"));
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
                        ch.pipeline().addLast(new FirstByte(), new HttpClientCodec(),
                            new HttpObjectAggregator(LARGEST_ANSWER), Connection.this);
                    }
                })
                .connect(address).addListener(connect -> {
                    if (!connect.isSuccess()) {
                        end(Failure.BROKEN, String.valueOf(connect.cause().getMessage()));
                    }
                }).channel();
        }

        private void write() {
            FullHttpRequest request = unsent;
            unsent = null;
            channel.writeAndFlush(request);
        }

        /** The call has failed; an answer that had begun shows a service that is there, however it broke off. */
        private void end(Failure failure, String why) {
            Reply reply = awaited;
            if (reply != null) {
                close();
                reply.failed(begun ? Failure.UNUSABLE : failure, why);
            }
        }

        private void end(FullHttpResponse response) {
            Reply reply = awaited;
            if (HttpUtil.isKeepAlive(response)) {
                timeout.cancel();
                awaited = null;
                answeredAt = ticker.now();
            } else {
                close();
            }
            reply.answered(response.status().code(), response.content().toString(StandardCharsets.UTF_8));
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

        /** Notes that an answer has begun, before it is decoded. */
        private final class FirstByte extends ChannelInboundHandlerAdapter {
            @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
                begun = true;
                ctx.fireChannelRead(message);
            }
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
                end(Failure.UNUSABLE, "not HTTP");
            } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {   // 1xx: the answer follows
                end(response);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            end(Failure.BROKEN, "connection ended");
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                end(Failure.BROKEN, "connection reset");
            } else {
                end(Failure.UNUSABLE, String.valueOf(cause.getMessage()));
            }
            ctx.close();
        }
    }
}
