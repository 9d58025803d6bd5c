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
 * Transport over sockets on one port: UDP for {@link Packet.Membership} and {@link Packet.Comparison}, TCP for
 * {@link Packet.FullExchange}. Datagrams are protected against replay by counters, exchanges by challenges, see
 * {@link ExchangeHandler}. Confined to the event loop that it is given, except {@link #listen}.
 */
public final class SocketPeerTransport implements PeerTransport {
    private static final Logger LOG = Logger.getLogger(SocketPeerTransport.class.getName());
    /** Largest datagram, in bytes; states that do not fit are sent in a full exchange. */
    public static final int MAX_DATAGRAM_BYTES = 8_192;
    /** Largest frame of a full exchange, in bytes. */
    public static final int MAX_EXCHANGE_BYTES = 1 << 20;
    /** Headers of IP and UDP on a datagram, in bytes. */
    public static final int HEADER_BYTES = 28;
    private static final int MAX_INBOUND_EXCHANGES = 32;
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
    private int inboundExchanges;

    /**
     * Creates a transport; it sends and receives after {@link #listen}.
     *
     * @param epoch supplies the epoch of this process, read for each packet
     * @param key the fleet's key, at least 16 bytes; an {@link IllegalArgumentException} is thrown if it is shorter
     * @param maxMembers number of instances whose packet counters are kept against replay
     */
    public SocketPeerTransport(EventLoop loop, String name, LongSupplier epoch, byte[] key, int maxMembers,
        PeerListener listener) {
        this(loop, name, epoch, key, maxMembers, listener, ChannelCustomizer.NONE);
    }

    /** Creates a transport with further handlers on its channels. */
    public SocketPeerTransport(EventLoop loop, String name, LongSupplier epoch, byte[] key, int maxMembers,
        PeerListener listener,
        ChannelCustomizer customizer) {
        this.loop = loop;
        this.sealer = new PacketSealer(name, epoch, key);
        this.opener = new PacketOpener(name, sealer, new ReplayGuard(maxMembers), drops, traffic);
        this.listener = listener;
        this.customizer = customizer;
    }

    // ---------------------------------------------------------------- open and close

    /** Opens the TCP and the UDP socket on one port. */
    @Override public InetSocketAddress listen(InetSocketAddress at) throws IOException {
        serverChannel = awaitBound(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    accept(channel);
                }
            }).bind(at));
        InetSocketAddress bound = (InetSocketAddress) serverChannel.localAddress();
        datagramChannel = awaitBound(new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES + 1))
            .handler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    customizer.customizeDatagrams(channel.pipeline());
                    channel.pipeline().addLast(new DatagramHandler());
                }
            }).bind(bound));
        return bound;
    }

    private Channel awaitBound(ChannelFuture binding) throws IOException {
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
            LOG.fine(() -> "fleet: datagram channel: " + cause);      // e.g. ICMP port unreachable: the peer is down
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
        if (inboundExchanges >= MAX_INBOUND_EXCHANGES) {
            drops.count(DropReason.CROWDED);
            channel.close();
            return;
        }
        inboundExchanges++;
        channel.closeFuture().addListener(closed -> inboundExchanges--);
        ExchangeHandler.addFraming(channel);
        byte[] challenge = new byte[ExchangeHandler.CHALLENGE_BYTES];
        random.nextBytes(challenge);
        channel.pipeline().addLast(new ExchangeResponder(challenge));
    }

    /** The responding side: sends a challenge, receives the caller's packet, sends its own and closes. */
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
                ctx.writeAndFlush(Unpooled.wrappedBuffer(sealed(ours, Seal.macOf(bytes))))
                    .addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.close();
            }
        }
    }

    /** The calling side: receives the challenge, sends its packet, receives the responder's and closes. */
    private final class ExchangeCaller extends ExchangeHandler {
        private final String with;
        private final Packet.FullExchange ours;
        /** Authentication code of the packet that was sent; null before that. */
        private byte[] sentMac;

        ExchangeCaller(String with, Packet.FullExchange ours) {
            super(drops);
            this.with = with;
            this.ours = ours;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (sentMac == null) {
                answerChallenge(ctx, ByteBufUtil.getBytes(frame));
                return;
            }
            PacketOpener.Opened opened = opener.open(ByteBufUtil.getBytes(frame), sentMac);
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
            sentMac = Seal.macOf(bytes);
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
