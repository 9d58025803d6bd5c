package kelphollow.lab;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The relays between instances, one for each direction of each pair, and the faults applied to them. */
final class Network implements AutoCloseable {
    /** One direction between two instances. */
    private record Path(String from, String to) {
        Path reversed() {
            return new Path(to, from);
        }
    }

    private static final int NOISE_PACKETS = 200;
    private static final int OVERSIZED_EVERY = 10;
    private static final int OVERSIZED_BYTES = 20_000;
    private static final int NOISE_BYTES = 900;

    private final History history;
    private final Random random;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<Path, Relay> relays = new LinkedHashMap<>();
    private final Map<Path, Boolean> cuts = new LinkedHashMap<>();

    Network(History history, Random random) {
        this.history = history;
        this.random = random;
    }

    /** Opens the path from one instance to another that listens on {@code port}; returns the port to send to. */
    int open(String from, String to, int port) throws IOException, InterruptedException {
        Relay relay = new Relay(group.next(), new InetSocketAddress("127.0.0.1", port), random.nextLong());
        relays.put(new Path(from, to), relay);
        return relay.open().getPort();
    }

    /** Cuts or heals the paths from each instance of one side to each of the other; both ways unless {@code oneWay}. */
    void cut(List<String> side, List<String> otherSide, boolean oneWay, boolean isCut) {
        history.add(HistoryLine.LAB, isCut ? "cut" : "heal", "who", side, "from", otherSide, "one_way", oneWay);
        for (String from : side) {
            for (String to : otherSide) {
                if (!from.equals(to)) {
                    Path path = new Path(from, to);
                    cuts.put(path, isCut);
                    if (!oneWay) {
                        cuts.put(path.reversed(), isCut);
                    }
                }
            }
        }
        relays.forEach((path, relay) -> relay.cut(cuts.getOrDefault(path, false),
            cuts.getOrDefault(path.reversed(), false)));
    }

    void setQuality(Scenario.LinkQuality quality) {
        history.add(HistoryLine.LAB, "net", "loss", quality.loss(), "duplicate", quality.duplicate(), "delay",
            quality.delay(), "jitter", quality.jitter());
        relays.values().forEach(relay -> relay.setQuality(quality));
    }

    /** Sends recorded datagrams to these instances again. */
    void replay(List<String> targets) {
        history.add(HistoryLine.LAB, "replay", "who", targets);
        relays.forEach((path, relay) -> {
            if (targets.contains(path.to)) {
                relay.replay();
            }
        });
    }

    /** Sends random datagrams to these instances, some oversized, as unrelated senders might. */
    void sendNoise(List<String> targets) {
        history.add(HistoryLine.LAB, "noise", "who", targets);
        relays.forEach((path, relay) -> {
            if (targets.contains(path.to)) {
                sendNoise(relay);
            }
        });
    }

    private void sendNoise(Relay relay) {
        for (int i = 0; i < NOISE_PACKETS; i++) {
            byte[] bytes = new byte[1 + random.nextInt(i % OVERSIZED_EVERY == 0 ? OVERSIZED_BYTES : NOISE_BYTES)];
            random.nextBytes(bytes);
            relay.inject(bytes);
        }
    }

    @Override public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
