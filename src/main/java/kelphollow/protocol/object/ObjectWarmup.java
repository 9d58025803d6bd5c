package kelphollow.protocol.object;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings;
import kelphollow.routing.Attempt;
import kelphollow.routing.AttemptResult;
import kelphollow.routing.Backend;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.StoreFault;
import kelphollow.transport.ClientMemory;
import kelphollow.transport.WheelTicker;

/**
 * Runs uploads through a separate router and front, without sockets, before the real front listens. Otherwise the first
 * clients wait for class loading and compilation, and those of them that disconnect meanwhile are noticed too late. Blocks
 * the calling thread; has an event loop of its own.
 */
public final class ObjectWarmup {
    private static final int UPLOADS = 120;
    private static final int BODY_BYTES = 256 * 1024;
    private static final int WRITE_BYTES = 16 * 1024;
    private static final int NODES = 4;
    private static final long TICK_MS = 2;
    private static final long MAX_MS = 1_000;
    /** One in this many clients disconnects while its upload waits. */
    private static final int DISCONNECTS_ONE_IN = 4;
    private static final double NODE_DELAY_MS = 2;

    private final EventLoop loop;
    private final WheelTicker ticker;
    private final LocalAddress address = new LocalAddress(ObjectWarmup.class);
    private int responses;

    private ObjectWarmup(EventLoop loop, WheelTicker ticker) {
        this.loop = loop;
        this.ticker = ticker;
    }

    /** Runs the warm-up for at most about a second; returns the number of clients that got a response. */
    public static int run(ControlSettings settings, ObjectOptions options, long seed) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
        EventLoop loop = group.next();
        try (WheelTicker ticker = new WheelTicker(loop, TICK_MS)) {
            ObjectWarmup warmup = new ObjectWarmup(loop, ticker);
            loop.submit(() -> warmup.listen(settings, options, seed)).syncUninterruptibly();
            return warmup.upload(options);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    private Void listen(ControlSettings settings, ObjectOptions options, long seed) throws IOException, StoreFault {
        RequestRouter router = new RequestRouter(new Control(settings, seed, ticker.now()), ticker, new ServingBackend());
        router.disableLogging();
        router.updateEndpoints(endpoints(), true);
        router.start(() -> {}, false);
        ObjectFront front = new ObjectFront(router, ticker, options, null, ClientMemory.ofHeap());
        new ServerBootstrap().group(loop).channel(LocalServerChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    front.accept(channel);
                }
            }).bind(address);
        return null;
    }

    private static List<ResolvedEndpoint> endpoints() {
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            endpoints.add(new ResolvedEndpoint(new Endpoint("n" + i, "", i, EndpointState.HEALTHY, 0),
                new InetSocketAddress(0)));
        }
        return endpoints;
    }

    private int upload(ObjectOptions options) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_MS);
        String bucket = options.buckets().keySet().iterator().next();
        List<Channel> clients = new ArrayList<>();
        for (int i = 0; i < UPLOADS && System.nanoTime() < end; i++) {
            Channel client = connect();
            clients.add(client);
            client.writeAndFlush(ascii("PUT /" + (i % 2 == 0 ? bucket : "none") + "/" + i
                + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"));
            for (int sent = 0; sent < BODY_BYTES; sent += WRITE_BYTES) {
                client.writeAndFlush(Unpooled.wrappedBuffer(new byte[WRITE_BYTES]));
            }
            if (i % DISCONNECTS_ONE_IN == 0) {
                client.close();
            }
        }
        for (Channel client : clients) {
            client.closeFuture().awaitUninterruptibly(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
        return loop.submit(() -> responses).syncUninterruptibly().getNow();
    }

    private Channel connect() {
        return new Bootstrap().group(loop).channel(LocalChannel.class).handler(new ChannelInboundHandlerAdapter() {
            @Override public void channelRead(ChannelHandlerContext context, Object message) {
                ((ByteBuf) message).release();
                responses++;
                context.close();
            }
        }).connect(address).syncUninterruptibly().channel();
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /** Nodes that take an upload's body after a moment and store it. */
    private final class ServingBackend implements Backend {
        @Override public void start(Attempt attempt) {
            ticker.after(NODE_DELAY_MS, () -> {
                if (attempt.maySend()) {
                    Transfer transfer = (Transfer) attempt.request().message();
                    transfer.forwardBodyTo((chunk, last) -> chunk(attempt, transfer, chunk, last));
                }
            });
        }

        private void chunk(Attempt attempt, Transfer transfer, ByteBuf chunk, boolean last) {
            chunk.release();
            attempt.progressed();
            if (last) {
                transfer.bodyForwarded();
                attempt.requestSent();
                attempt.ended(AttemptResult.of(AttemptOutcome.SERVED,
                    new NodeResponse(200, EmptyHttpHeaders.INSTANCE, new byte[0]), false));
            } else {
                transfer.requestChunk();
            }
        }

        @Override public void cancel(Attempt attempt) {
            // Nothing to close.
        }

        @Override public void closeIdleConnections(String node) {
            // There are no connections.
        }
    }
}
