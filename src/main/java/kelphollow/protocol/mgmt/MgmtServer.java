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
 * Server of the management protocol: each connection sends one line, gets one line back, {@code ACK ...} or
 * {@code NAK reason}, and is closed. Runs on a separate event loop, never on the scheduler's.
 */
public final class MgmtServer {
    /** How long a connection may take to send a complete line. */
    public static final int READ_TIMEOUT_SECONDS = 5;
    /** Maximum number of open connections; a further one closes the oldest. */
    public static final int MAX_CONNECTIONS = 64;

    /** Executes commands; the result is the whole answer line without its terminator. */
    public interface CommandHandler {
        /** Executes a command, lineReceived on the server's event loop; the message of a failure follows {@code NAK}. */
        CompletionStage<String> handle(MgmtLine.Command command);
    }

    private final EventLoop loop;
    private final CommandHandler handler;
    private final ArrayDeque<Channel> open = new ArrayDeque<>();
    private Channel listener;

    /** Creates a server whose connections run on this event loop. */
    public MgmtServer(EventLoop loop, CommandHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Binds the address and blocks until it listens; returns the bound address. */
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
            new LineBasedFrameDecoder(MgmtLine.MAX_LENGTH, true, true), new LineHandler());
    }

    /** Closes the listening socket; blocks until it is closed. */
    public void stop() {
        if (listener != null) {
            listener.close().syncUninterruptibly();
        }
    }

    /** Reads one line from a connection, answers it and closes the connection. */
    private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean lineReceived;

        @Override protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            if (lineReceived) {
                return;   // one line per connection; further input is ignored
            }
            lineReceived = true;
            MgmtLine line = MgmtLine.parse(ByteBufUtil.getBytes(frame));
            if (line instanceof MgmtLine.Invalid invalid) {
                answer(context, "NAK " + invalid.reason());
                return;
            }
            handler.handle((MgmtLine.Command) line).whenComplete(
                (text, fault) -> loop.execute(() -> answer(context, fault == null ? text : "NAK " + fault.getMessage())));
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (lineReceived && cause instanceof TooLongFrameException) {
                return;   // follows the line that is being answered
            }
            if (lineReceived) {
                context.close();
            } else if (cause instanceof TooLongFrameException) {
                lineReceived = true;
                answer(context, "NAK the line is longer than " + MgmtLine.MAX_LENGTH + " bytes");
            } else if (cause instanceof ReadTimeoutException) {
                lineReceived = true;
                answer(context, "NAK no whole line in " + READ_TIMEOUT_SECONDS + " s");
            } else {
                context.close();
            }
        }

        private void answer(ChannelHandlerContext context, String text) {
            if (context.channel().isActive()) {
                // Input after the line is read and discarded: a close with unread input would reset the connection and lose
                // the answer. The connection closes when the client closes it or the read times out.
                context.pipeline().addFirst(new LingeringClose.Discard());
                context.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII))
                    .addListener(sent -> ((SocketChannel) context.channel()).shutdownOutput());
            }
        }
    }
}
