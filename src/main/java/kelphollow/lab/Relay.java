package kelphollow.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The path from one instance to another, datagrams and connections alike. A path that is cut is silent, as a network is:
 * what was under way stays unanswered. A TCP path needs both directions. Lives on one event loop; its methods are for other
 * threads. Each buffer is released by the write that sends it, or here if it is lost.
 */
final class Relay {
    private static final int MAX_RECORDED = 100;
    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    private static final double MICROS_PER_MILLI = 1_000;

    /** Which directions are cut. */
    private enum Cut {
        NONE, THERE, BACK, BOTH;

        static Cut of(boolean there, boolean back) {
            if (there) {
                return back ? BOTH : THERE;
            }
            return back ? BACK : NONE;
        }

        boolean losesDatagrams() {
            return this == THERE || this == BOTH;
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Random random;
    private final List<Channel> connections = new ArrayList<>();
    /** The last datagrams that came, for a replay. */
    private final ArrayDeque<byte[]> recorded = new ArrayDeque<>();
    private Channel out;
    private Channel listener;
    private Scenario.LinkQuality quality = Scenario.LinkQuality.GOOD;
    private Cut cut = Cut.NONE;

    Relay(EventLoop loop, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.target = target;
        this.random = new Random(seed);
    }

    /** Opens the path and returns where it begins: one port for both, so it is tried until both have it. */
    InetSocketAddress open() throws InterruptedException, IOException {
        out = udp(new ChannelInboundHandlerAdapter(), new InetSocketAddress("127.0.0.1", 0)).sync().channel();
        for (int attempt = 0; attempt < MAX_BIND_ATTEMPTS; attempt++) {
            listen();
            InetSocketAddress at = (InetSocketAddress) listener.localAddress();
            ChannelFuture bound = udp(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                    pass(packet.content());
                }
            }, at).await();
            if (bound.isSuccess()) {
                return at;
            }
            listener.close().sync();
        }
        throw new IOException("no port is free for datagrams and connections both");
    }

    private void listen() throws InterruptedException {
        listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    connect(channel);
                }
            }).bind("127.0.0.1", 0).sync().channel();
    }

    private ChannelFuture udp(ChannelHandler handler, InetSocketAddress at) {
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)).handler(handler)
            .bind(at);
    }

    private void pass(ByteBuf bytes) {
        if (recorded.size() >= MAX_RECORDED) {
            recorded.poll();
        }
        recorded.add(ByteBufUtil.getBytes(bytes));
        if (cut.losesDatagrams() || random.nextDouble() < quality.loss()) {
            return;
        }
        for (int copies = random.nextDouble() < quality.duplicate() ? 2 : 1; copies > 0; copies--) {
            ByteBuf copy = bytes.copy();
            long late = (long) ((quality.delay() + quality.jitter() * random.nextDouble()) * MICROS_PER_MILLI);
            Runnable send = () -> {
                if (cut.losesDatagrams()) {
                    copy.release();
                } else {
                    out.writeAndFlush(new DatagramPacket(copy, target));
                }
            };
            if (late == 0) {
                send.run();
            } else {
                loop.schedule(send, late, TimeUnit.MICROSECONDS);
            }
        }
    }

    private void connect(Channel from) {
        connections.add(from);
        if (cut != Cut.NONE) {
            return;                        // it is open and silent, and closed when the path is healed
        }
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.AUTO_READ, false)
            .handler(new Pipe(from)).connect(target).addListener((ChannelFuture connected) -> {
                if (!connected.isSuccess()) {
                    from.close();
                    return;
                }
                connections.add(connected.channel());
                from.pipeline().addLast(new Pipe(connected.channel()));
                loop.schedule(() -> {
                    from.config().setAutoRead(true);
                    connected.channel().config().setAutoRead(true);
                }, (long) (quality.delay() * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
            });
    }

    /** Passes on what comes on one end of a connection to the other. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Pipe(Channel other) {
            this.other = other;
        }

        @Override public void channelRead(ChannelHandlerContext context, Object message) {
            if (cut != Cut.NONE) {
                ReferenceCountUtil.release(message);
            } else {
                other.writeAndFlush(message);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            if (cut == Cut.NONE) {
                other.close();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Cuts the way there, and whether the way back is cut, which a connection needs too. */
    void cut(boolean there, boolean back) {
        loop.submit(() -> {
            Cut before = cut;
            cut = Cut.of(there, back);
            if (before != Cut.NONE && cut == Cut.NONE) {
                connections.forEach(Channel::close);
                connections.clear();
            }
            connections.removeIf(connection -> !connection.isOpen());
        }).syncUninterruptibly();
    }

    void setQuality(Scenario.LinkQuality next) {
        loop.submit(() -> {
            quality = next;
        }).syncUninterruptibly();
    }

    /** Sends again what was recorded, as it was. */
    void replay() {
        loop.submit(() -> List.copyOf(recorded).forEach(this::inject)).syncUninterruptibly();
    }

    /** Sends bytes as if they came over the path. */
    void inject(byte[] bytes) {
        out.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target));
    }
}
