package kelphollow.scale;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.ReferenceCountUtil;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import kelphollow.protocol.peer.ChannelCustomizer;

/**
 * Stages of one instance's line that delay or drop what it sends, and what it receives from processes, as the {@link
 * NetworkModel} says. Each handler is confined to its channel's event loop and owns the messages that it holds.
 */
final class NetworkDelays implements ChannelCustomizer {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final NetworkModel network;
    private final int self;
    private final IntPredicate isProcess;

    /**
     * @param self the instance
     * @param isProcess which instances are processes of their own
     */
    NetworkDelays(NetworkModel network, int self, IntPredicate isProcess) {
        this.network = network;
        this.self = self;
        this.isProcess = isProcess;
    }

    @Override public void customizeDatagrams(ChannelPipeline pipeline) {
        pipeline.addLast(new DatagramDelay());
    }

    @Override public void customizeExchange(ChannelPipeline pipeline) {
        pipeline.addLast(new ExchangeDelay());
    }

    /** Delays a datagram, or drops it. */
    private final class DatagramDelay extends ChannelDuplexHandler {
        @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            DatagramPacket packet = (DatagramPacket) message;
            int to = network.instanceAt(packet.recipient());
            double delay = to < 0 ? NetworkModel.LOST : network.datagramDelay(self, to);
            pass(delay, ctx, packet, () -> ctx.writeAndFlush(packet, promise));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            DatagramPacket packet = (DatagramPacket) message;
            int from = network.instanceAt(packet.sender());
            if (from >= 0 && isProcess.test(from)) {
                pass(network.datagramDelay(from, self), ctx, packet, () -> ctx.fireChannelRead(packet));
            } else {
                ctx.fireChannelRead(packet);
            }
        }

        private void pass(double delay, ChannelHandlerContext ctx, DatagramPacket packet, Runnable passOn) {
            if (Double.isNaN(delay)) {
                packet.release();
                return;
            }
            ctx.channel().eventLoop().schedule(() -> {
                if (ctx.channel().isActive()) {
                    passOn.run();
                } else {
                    packet.release();
                }
            }, (long) (delay * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
        }
    }

    /** Rejects a connection over a partitioned path, and delays its opening and each message. */
    private final class ExchangeDelay extends ChannelDuplexHandler {
        private final OrderedDelay writes = new OrderedDelay();
        private final OrderedDelay reads = new OrderedDelay();
        private int peer = -1;

        @Override public void connect(ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local,
            ChannelPromise promise) {
            peer = network.instanceAt((InetSocketAddress) remote);
            double there = peer < 0 ? NetworkModel.LOST : network.connectionDelay(self, peer);
            double back = peer < 0 ? NetworkModel.LOST : network.connectionDelay(peer, self);
            if (Double.isNaN(there + back)) {
                promise.tryFailure(new ConnectException("cut off"));
                ctx.close();
                return;
            }
            writes.schedule(ctx, there + back, () -> ctx.connect(remote, local, promise));
        }

        @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            double delay = network.connectionDelay(self, peer);
            if (Double.isNaN(delay)) {
                ReferenceCountUtil.release(message);
                return;
            }
            writes.schedule(ctx, delay, () -> ctx.writeAndFlush(message, promise));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            double delay = network.connectionDelay(peer, self);
            if (Double.isNaN(delay)) {
                ReferenceCountUtil.release(message);
                return;
            }
            reads.schedule(ctx, delay, () -> ctx.fireChannelRead(message));
        }

        /** The end of the peer's sending must not overtake what it sent before. */
        @Override public void handlerAdded(ChannelHandlerContext ctx) {
            ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }

        @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                reads.schedule(ctx, 0, ctx::close);
            } else {
                ctx.fireUserEventTriggered(event);
            }
        }
    }

    /** Delays what goes one way over a connection without changing its order. */
    private static final class OrderedDelay {
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private long lastAt = System.nanoTime();

        void schedule(ChannelHandlerContext ctx, double millis, Runnable task) {
            long now = System.nanoTime();
            lastAt = Math.max(lastAt, now + (long) (millis * NANOS_PER_MILLI));
            waiting.add(task);
            // Whichever timer fires first runs what was scheduled first.
            ctx.channel().eventLoop().schedule(() -> waiting.poll().run(), lastAt - now, TimeUnit.NANOSECONDS);
        }
    }
}
