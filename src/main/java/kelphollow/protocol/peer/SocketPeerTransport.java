package kelphollow.protocol.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * The sockets between instances: one port, UDP for {@link Packet.Membership} and {@link Packet.Comparison}, TCP for
 * {@link Packet.FullExchange}. Confined to the event loop that it is given. Datagrams are guarded against replay by
 * counters, exchanges by challenges, see {@link ExchangeHandler}.
 */
public final class SocketPeerTransport implements PeerTransport {
    private static final Logger LOG = Logger.getLogger(SocketPeerTransport.class.getName());
    /** Largest datagram, in bytes; states that do not fit wait for a full exchange. */
    public static final int MAX_DATAGRAM_BYTES = 8_192;
    /** Largest side of a full exchange, in bytes. */
    public static final int MAX_EXCHANGE_BYTES = 1 << 20;
    /** What IP and UDP add to a datagram, in bytes. */
    public static final int HEADER_BYTES = 28;
    private static final int MAX_CALLERS = 32;
    private static final int CONNECT_TIMEOUT_MILLIS = ExchangeHandler.TIMEOUT_SECONDS * 1_000;

    private final EventLoop loop;
    private final PacketSealer sealer;
    private final PacketOpener opener;
    private final PeerListener listener;
    private final ChannelCustomizer customizer;
    private final Traffic traffic = new Traffic();
    private final DropCounter drops = new DropCounter();
    private final SecureRandom random = new SecureRandom();
    private Channel datagramChannel;
    private Channel serverChannel;
    private int callers;

    /**
     * @param epoch number of this process, read for each packet
     * @param key the fleet's, at least 16 bytes; an {@link IllegalArgumentException} is thrown if it is shorter
     * @param maxMembers instances whose counters are remembered
     */
    public SocketPeerTransport(EventLoop loop, String name, LongSupplier epoch, byte[] key, int maxMembers,
        PeerListener listener) {
        this(loop, name, epoch, key, maxMembers, listener, ChannelCustomizer.NONE);
    }

    /** The same with further handlers on its channels. */
    public SocketPeerTransport(EventLoop loop, String name, LongSupplier epoch, byte[] key, int maxMembers,
        PeerListener listener,
        ChannelCustomizer customizer) {
        this.loop = loop;
        this.sealer = new PacketSealer(name, epoch, key);
        this.opener = new PacketOpener(name, sealer, new ReplayGuard(maxMembers), drops, traffic);
        this.listener = listener;
        this.customizer = customizer;
    }

    // ---------------------------------------------------------------- opening

    /** Opens both sockets on one port. */
    @Override public InetSocketAddress listen(InetSocketAddress at) throws IOException {
        serverChannel = opened(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    accept(channel);
                }
            }).bind(at));
        InetSocketAddress bound = (InetSocketAddress) serverChannel.localAddress();
        datagramChannel = opened(new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES + 1))
            .handler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    customizer.customizeDatagrams(channel.pipeline());
                    channel.pipeline().addLast(new DatagramHandler());
                }
            }).bind(bound));
        return bound;
    }

    private Channel opened(ChannelFuture binding) throws IOException {
        try {
            binding.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        if (!binding.isSuccess()) {
            close();
            throw new IOException("fleet.listen: " + binding.cause().getMessage(), binding.cause());
        }
        return binding.channel();
    }

    @Override public void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        if (datagramChannel != null) {
            datagramChannel.close();
        }
    }

    // ---------------------------------------------------------------- datagrams

    @Override public long send(InetSocketAddress to, Packet packet) {
        if (datagramChannel == null) {
            return 0;
        }
        byte[] bytes = sealer.datagram(packet).bytes();
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            drops.count(DropReason.OVERSIZED);
            return 0;
        }
        traffic.sent(Traffic.kind(packet), bytes.length);
        datagramChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
        return (long) bytes.length + HEADER_BYTES;
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket datagram) {
            ByteBuf content = datagram.content();
            if (content.readableBytes() > MAX_DATAGRAM_BYTES) {
                drops.count(DropReason.OVERSIZED);
                return;
            }
            PacketOpener.Opened opened = opener.open(ByteBufUtil.getBytes(content), Seal.NO_CHALLENGE);
            if (opened == null) {
                return;
            }
            if (opened.packet() instanceof Packet.Membership membership) {
                listener.membershipReceived(opened.from(), membership);
            } else if (opened.packet() instanceof Packet.Comparison comparison) {
                listener.comparisonReceived(opened.from(), comparison);
            } else {
                drops.count(DropReason.UNREADABLE);
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.fine(() -> "fleet: " + cause);      // a closed port answers a datagram by ICMP: the peer is away
        }
    }

    // ---------------------------------------------------------------- full exchanges

    @Override public void exchange(String with, InetSocketAddress at, Packet.FullExchange ours) {
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    customizer.customizeExchange(channel.pipeline());
                    ExchangeHandler.addFraming(channel);
                    channel.pipeline().addLast(new ExchangeCaller(with, ours));
                }
            }).connect(at);
    }

    private byte[] sealed(Packet.FullExchange packet, byte[] challenge) {
        byte[] bytes = sealer.sealed(packet, challenge);
        traffic.sent(Traffic.Kind.EXCHANGE, bytes.length);
        return bytes;
    }

    private void accept(Channel channel) {
        if (callers >= MAX_CALLERS) {
            drops.count(DropReason.CROWDED);
            channel.close();
            return;
        }
        callers++;
        channel.closeFuture().addListener(closed -> callers--);
        ExchangeHandler.addFraming(channel);
        byte[] challenge = new byte[ExchangeHandler.CHALLENGE_BYTES];
        random.nextBytes(challenge);
        channel.pipeline().addLast(new ExchangeResponder(challenge));
    }

    /** The called side: challenge out, theirs in, ours out, close. */
    private final class ExchangeResponder extends ExchangeHandler {
        private final byte[] challenge;

        ExchangeResponder(byte[] challenge) {
            super(drops);
            this.challenge = challenge;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(challenge));
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            PacketOpener.Opened opened = opener.open(bytes, challenge);
            if (opened != null && opened.packet() instanceof Packet.FullExchange theirs) {
                Packet.FullExchange ours = listener.exchangeRequested(opened.from(), theirs);
                ctx.writeAndFlush(Unpooled.wrappedBuffer(sealed(ours, Seal.codeOf(bytes))))
                    .addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.close();
            }
        }
    }

    /** The calling side: challenge in, ours out, theirs in, close. */
    private final class ExchangeCaller extends ExchangeHandler {
        private final String with;
        private final Packet.FullExchange ours;
        /** Of the packet that was sent; null until then. */
        private byte[] sentCode;

        ExchangeCaller(String with, Packet.FullExchange ours) {
            super(drops);
            this.with = with;
            this.ours = ours;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (sentCode == null) {
                answerChallenge(ctx, ByteBufUtil.getBytes(frame));
                return;
            }
            PacketOpener.Opened opened = opener.open(ByteBufUtil.getBytes(frame), sentCode);
            if (opened != null && opened.from().equals(with) && opened.packet() instanceof Packet.FullExchange theirs) {
                listener.exchangeAnswered(with, theirs);
            }
            ctx.close();
        }

        private void answerChallenge(ChannelHandlerContext ctx, byte[] challenge) {
            if (challenge.length != CHALLENGE_BYTES) {
                drops.count(DropReason.UNREADABLE);
                ctx.close();
                return;
            }
            byte[] bytes = sealed(ours, challenge);
            sentCode = Seal.codeOf(bytes);
            ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        }
    }

    // ---------------------------------------------------------------- counters

    @Override public Map<DropReason, Long> drops() {
        return drops.counts();
    }

    @Override public Traffic traffic() {
        return traffic;
    }
}
