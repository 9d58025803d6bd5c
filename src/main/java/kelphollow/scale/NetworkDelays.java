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
 * Installs channel handlers that delay or drop the messages one instance sends, and those it receives from real processes,
 * according to the {@link NetworkModel}. Each handler is confined to its channel's event loop and owns the messages held.
 */
final class NetworkDelays implements ChannelCustomizer {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final NetworkModel network;
    private final int self;
    private final IntPredicate isProcess;

    /**
     * @param self index of the instance
     * @param isProcess tells whether the instance at an index is a real process
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

    /** Delays or drops datagrams: all that are sent, and those received from real processes. */
    private final class DatagramDelay extends ChannelDuplexHandler {
        @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            DatagramPacket packet = (DatagramPacket) message;
            int to = network.instanceAt(packet.recipient());
            double delay = to < 0 ? NetworkModel.LOST : network.datagramDelay(self, to);
            delayOrDrop(delay, ctx, packet, () -> ctx.writeAndFlush(packet, promise));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            DatagramPacket packet = (DatagramPacket) message;
            int from = network.instanceAt(packet.sender());
            if (from >= 0 && isProcess.test(from)) {
                delayOrDrop(network.datagramDelay(from, self), ctx, packet, () -> ctx.fireChannelRead(packet));
            } else {
                ctx.fireChannelRead(packet);
            }
        }

        private void delayOrDrop(double delay, ChannelHandlerContext ctx, DatagramPacket packet, Runnable forward) {
            if (Double.isNaN(delay)) {
                packet.release();
                return;
            }
            ctx.channel().eventLoop().schedule(() -> {
                if (ctx.channel().isActive()) {
                    forward.run();
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
            double outbound = peer < 0 ? NetworkModel.LOST : network.connectionDelay(self, peer);
            double inbound = peer < 0 ? NetworkModel.LOST : network.connectionDelay(peer, self);
            if (Double.isNaN(outbound + inbound)) {
                promise.tryFailure(new ConnectException("instance " + self + " cannot reach " + remote
                    + ": network partition or unknown address"));
                ctx.close();
                return;
            }
            writes.schedule(ctx, outbound + inbound, () -> ctx.connect(remote, local, promise));
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

        /** Half-closure lets the peer's end of output be queued behind its delayed messages instead of overtaking them. */
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

    /** Delays the messages of one direction of a connection without reordering them. */
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
