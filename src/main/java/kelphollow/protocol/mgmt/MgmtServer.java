package kelphollow.protocol.mgmt;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import kelphollow.transport.LingeringClose;

/**
 * The management address: each connection carries one line and gets one line back, {@code ACK ...} or
 * {@code NAK reason}, then is closed. Runs on an event loop of its own, never on the scheduler's.
 */
public final class MgmtServer {
    /** How long a connection may take to bring a complete line, in seconds. */
    public static final int READ_TIMEOUT_SECONDS = 5;
    /** Connections open at once; one more closes the oldest. */
    public static final int MAX_CONNECTIONS = 64;

    /** What carries out the calls; the answer is the whole line without its end. */
    public interface CommandHandler {
        /** Carries out a call, on the loop of the server; a failure's message goes behind {@code NAK}. */
        CompletionStage<String> handle(MgmtLine.Command command);
    }

    private final EventLoop loop;
    private final CommandHandler handler;
    private final ArrayDeque<Channel> open = new ArrayDeque<>();
    private Channel listener;

    /** A server whose connections live on this loop. */
    public MgmtServer(EventLoop loop, CommandHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Opens the socket; blocks until it listens; returns the address with its port. */
    public InetSocketAddress listen(InetSocketAddress address) {
        listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    accept(channel);
                }
            })
            .bind(address).syncUninterruptibly().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private void accept(Channel channel) {
        if (open.size() >= MAX_CONNECTIONS) {
            open.poll().close();
        }
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        channel.pipeline().addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS),
            new LineBasedFrameDecoder(MgmtLine.MAX_LENGTH, true, true), new OneLine());
    }

    /** Closes the socket; blocks until it is closed. */
    public void stop() {
        if (listener != null) {
            listener.close().syncUninterruptibly();
        }
    }

    /** Reads the one line of a connection, answers and closes. */
    private final class OneLine extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean called;

        @Override protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            if (called) {
                return;   // one line a connection; what follows is not read
            }
            called = true;
            MgmtLine line = MgmtLine.parse(ByteBufUtil.getBytes(frame));
            if (line instanceof MgmtLine.Invalid invalid) {
                answer(context, "NAK " + invalid.reason());
                return;
            }
            handler.handle((MgmtLine.Command) line).whenComplete(
                (text, fault) -> loop.execute(() -> answer(context, fault == null ? text : "NAK " + fault.getMessage())));
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (called && cause instanceof TooLongFrameException) {
                return;   // behind the line that is answered
            }
            if (called) {
                context.close();
            } else if (cause instanceof TooLongFrameException) {
                called = true;
                answer(context, "NAK the line is longer than " + MgmtLine.MAX_LENGTH + " bytes");
            } else if (cause instanceof ReadTimeoutException) {
                called = true;
                answer(context, "NAK no whole line in " + READ_TIMEOUT_SECONDS + " s");
            } else {
                context.close();
            }
        }

        private void answer(ChannelHandlerContext context, String text) {
            if (context.channel().isActive()) {
                // What comes behind the line is read away: a close over it would reset the connection, and the answer with
                // it. The caller closes, or the read times out.
                context.pipeline().addFirst(new LingeringClose.Discard());
                context.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII))
                    .addListener(sent -> ((SocketChannel) context.channel()).shutdownOutput());
            }
        }
    }
}
