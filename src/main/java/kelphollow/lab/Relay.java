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
 * Forwards datagrams and TCP connections from one instance to another. A cut path drops everything silently, as a broken
 * network does: messages under way get no answer and connections stay open. A TCP path needs both directions. All state
 * belongs to one event loop; the package-visible methods are called from other threads. The write that sends a buffer
 * releases it; a dropped buffer is released here.
 */
final class Relay {
    private static final int MAX_RECORDED = 100;
    private static final int MAX_BIND_ATTEMPTS = 100;
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    private static final double MICROS_PER_MILLI = 1_000;

    /** The directions that are cut. */
    private enum Cut {
        NONE, FORWARD, BACKWARD, BOTH;

        static Cut of(boolean forward, boolean backward) {
            if (forward) {
                return backward ? BOTH : FORWARD;
            }
            return backward ? BACKWARD : NONE;
        }

        boolean losesDatagrams() {
            return this == FORWARD || this == BOTH;
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Random random;
    private final List<Channel> connections = new ArrayList<>();
    /** The last datagrams received, for {@link #replay}. */
    private final ArrayDeque<byte[]> recorded = new ArrayDeque<>();
    private Channel sender;
    private Channel listener;
    private Scenario.LinkQuality quality = Scenario.LinkQuality.GOOD;
    private Cut cut = Cut.NONE;

    Relay(EventLoop loop, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.target = target;
        this.random = new Random(seed);
    }

    /** Opens the path and returns its address. TCP and UDP share one port, so ports are tried until both can bind it. */
    InetSocketAddress open() throws InterruptedException, IOException {
        sender = bindUdp(new ChannelInboundHandlerAdapter(), new InetSocketAddress("127.0.0.1", 0)).sync().channel();
        for (int attempt = 0; attempt < MAX_BIND_ATTEMPTS; attempt++) {
            listen();
            InetSocketAddress at = (InetSocketAddress) listener.localAddress();
            ChannelFuture bound = bindUdp(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                    forward(packet.content());
                }
            }, at).await();
            if (bound.isSuccess()) {
                return at;
            }
            listener.close().sync();
        }
        throw new IOException("no port was free for both TCP and UDP in " + MAX_BIND_ATTEMPTS + " attempts");
    }

    private void listen() throws InterruptedException {
        listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    connect(channel);
                }
            }).bind("127.0.0.1", 0).sync().channel();
    }

    private ChannelFuture bindUdp(ChannelHandler handler, InetSocketAddress at) {
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)).handler(handler)
            .bind(at);
    }

    private void forward(ByteBuf bytes) {
        if (recorded.size() >= MAX_RECORDED) {
            recorded.poll();
        }
        recorded.add(ByteBufUtil.getBytes(bytes));
        if (cut.losesDatagrams() || random.nextDouble() < quality.loss()) {
            return;
        }
        for (int copies = random.nextDouble() < quality.duplicate() ? 2 : 1; copies > 0; copies--) {
            ByteBuf copy = bytes.copy();
            long delayMicros = (long) ((quality.delay() + quality.jitter() * random.nextDouble()) * MICROS_PER_MILLI);
            Runnable send = () -> {
                if (cut.losesDatagrams()) {
                    copy.release();
                } else {
                    sender.writeAndFlush(new DatagramPacket(copy, target));
                }
            };
            if (delayMicros == 0) {
                send.run();
            } else {
                loop.schedule(send, delayMicros, TimeUnit.MICROSECONDS);
            }
        }
    }

    private void connect(Channel from) {
        connections.add(from);
        if (cut != Cut.NONE) {
            return;                        // stays open without traffic; healing the path closes it
        }
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.AUTO_READ, false)
            .handler(new Forwarder(from)).connect(target).addListener((ChannelFuture connected) -> {
                if (!connected.isSuccess()) {
                    from.close();
                    return;
                }
                connections.add(connected.channel());
                from.pipeline().addLast(new Forwarder(connected.channel()));
                loop.schedule(() -> {
                    from.config().setAutoRead(true);
                    connected.channel().config().setAutoRead(true);
                }, (long) (quality.delay() * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
            });
    }

    /** Forwards what one end of a connection receives to the other end. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Forwarder(Channel other) {
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

    /** Sets which directions are cut; connections need the way back too. */
    void cut(boolean forward, boolean backward) {
        loop.submit(() -> {
            Cut before = cut;
            cut = Cut.of(forward, backward);
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

    /** Sends the recorded datagrams again, unchanged. */
    void replay() {
        loop.submit(() -> List.copyOf(recorded).forEach(this::inject)).syncUninterruptibly();
    }

    /** Sends bytes to the target as if they had come over the path. */
    void inject(byte[] bytes) {
        sender.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target));
    }
}
