package kelphollow.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import kelphollow.routing.Ticker;

/**
 * Connections to nodes, one shelf a node. The one used last is taken first, so that the others grow old and
 * are retired before the node closes them: a request written to a closing connection may or may not have run.
 */
public final class Pools {
    /** What is held at most and how long; times in milliseconds. */
    public record Limits(int connectTimeout, double idleTime, int connections) { }

    /** The connections to one node that carry nothing. */
    static final class Shelf {
        final ArrayDeque<Link> idle = new ArrayDeque<>();
    }

    private final EventLoop loop;
    private final Ticker ticker;
    private final Limits limits;
    private final Consumer<Channel> codec;
    private final Map<String, Shelf> shelves = new HashMap<>();
    private int connections;
    private long dialled;

    public Pools(EventLoop loop, Ticker ticker, Limits limits, Consumer<Channel> codec) {
        this.loop = loop;
        this.ticker = ticker;
        this.limits = limits;
        this.codec = codec;
        sweepLater();
    }

    /** Hands a connection to the user by {@link Link.User#up}, at once or when dialled. */
    public Link lease(String node, InetSocketAddress address, Link.User user) {
        Shelf shelf = shelves.computeIfAbsent(node, n -> new Shelf());
        Link kept;
        while ((kept = shelf.idle.pollLast()) != null) {
            if (kept.channel().isActive() && ticker.now() - kept.idleSince < limits.idleTime()) {
                kept.use(user);
                return kept;
            }
            kept.close();
        }
        Link link = new Link(this, shelf, user);
        connections++;
        if (connections > limits.connections()) {
            link.ended(new java.io.IOException("no more than " + limits.connections() + " connections to nodes"));
            return link;
        }
        dialled++;
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeout())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, Server.ALLOCATOR)
            .handler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    codec.accept(channel);
                    channel.pipeline().addLast(link);
                }
            })
            .connect(address).addListener(connect -> {
                if (!connect.isSuccess()) {
                    link.ended(connect.cause());
                }
            });
        return link;
    }

    /** Closes the connections to a node that carry nothing. */
    public void retire(String node) {
        Shelf shelf = shelves.get(node);
        if (shelf != null) {
            Link link;
            while ((link = shelf.idle.poll()) != null) {
                link.close();
            }
        }
    }

    public int connections() {
        return connections;
    }

    public long dialled() {
        return dialled;
    }

    void keep(Link link) {
        link.idleSince = ticker.now();
        link.shelf.idle.addLast(link);
    }

    void forget(Link link) {
        connections--;
        link.shelf.idle.remove(link);
    }

    private void sweepLater() {
        ticker.after(limits.idleTime() / 8, () -> {
            double old = ticker.now() - limits.idleTime() * 7 / 8;
            for (Shelf shelf : shelves.values()) {
                while (!shelf.idle.isEmpty() && shelf.idle.peekFirst().idleSince < old) {
                    shelf.idle.pollFirst().close();
                }
            }
            sweepLater();
        });
    }
}
