package kelphollow.program;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import kelphollow.capacity.LineFit;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Resting clients and requests a second of one scheduler in memory, descriptors and processor time, by a real process over
 * the
 * loopback: {@code mvn -B -q -Pbench test-compile exec:exec@data-path}. Clients and stand-in nodes run in this process,
 * beside the
 * scheduler's on the same machine: the latencies hold their share too.
 */
public final class DataPathCost {
    private static final int[] RESTING = {200, 500, 1_000, 2_000, 3_333};
    private static final int[] RATES = {100, 200, 400, 843};
    private static final int[] NODES = {10, 1_000};
    private static final int SOCKETS = 16_000;
    private static final int CLIENTS_A_RATE = 4;
    private static final int CONNECTS_AT_ONCE = 100;
    private static final int SETTLE_MS = 1_500;
    private static final int MEASURED_MS = 4_000;
    private static final long LONGEST_MICROS = 60_000_000;
    private static final byte[] PING = "*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ANSWER = "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private static final ConcurrentHistogram LATENCY = new ConcurrentHistogram(LONGEST_MICROS, 3);
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger CLOSED = new AtomicInteger();

    private DataPathCost() {}

    /** Processor time in milliseconds before and after the collection that the bytes of memory are measured by. */
    private record Figures(double cpuBefore, double cpuAfter, double heap, double direct, int descriptors) {}

    /** The scheduler's process; killed at the end. */
    private static final class Child implements AutoCloseable {
        final Process process;
        final BufferedReader out;
        final int port;

        Child(int standIn, int nodes) throws IOException {
            process = new ProcessBuilder(List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-Xmx256m",
                "-XX:MaxDirectMemorySize=256m", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "kelphollow.program.SchedulerProcess", "" + standIn, "" + nodes, "" + SOCKETS))
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            out = new BufferedReader(new InputStreamReader(process.getInputStream()));
            port = Integer.parseInt(out.readLine());
        }

        Figures figures() throws IOException {
            OutputStream in = process.getOutputStream();
            in.write('\n');
            in.flush();
            String[] words = out.readLine().split(" ");
            return new Figures(Long.parseLong(words[0]) / 1e6, Long.parseLong(words[1]) / 1e6, Long.parseLong(words[2]),
                Long.parseLong(words[3]), Integer.parseInt(words[4]));
        }

        @Override public void close() {
            process.destroyForcibly();
        }
    }

    /** A client's connection; one request at a time. */
    private static final class Client extends ChannelInboundHandlerAdapter {
        volatile Channel channel;
        private volatile long askedAt;

        void ask(byte[] command) {
            askedAt = System.nanoTime();
            channel.writeAndFlush(Unpooled.wrappedBuffer(command));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            (bytes.getByte(bytes.readerIndex()) == '$' ? SERVED : REFUSED).incrementAndGet();
            LATENCY.recordValue(Math.min(LONGEST_MICROS, (System.nanoTime() - askedAt) / 1_000));
            ReferenceCountUtil.release(message);
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            CLOSED.incrementAndGet();
        }
    }

    private static int standInNodes() {
        Channel server = new ServerBootstrap().group(GROUP).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
                            ReferenceCountUtil.release(message);
                            ctx.writeAndFlush(Unpooled.wrappedBuffer(ANSWER));
                        }
                    });
                }
            }).bind("127.0.0.1", 0).syncUninterruptibly().channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    private static List<Client> connect(int port, int count) throws InterruptedException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Client client = new Client();
            client.channel = new Bootstrap().group(GROUP).channel(NioSocketChannel.class).handler(client)
                .connect("127.0.0.1", port).sync().channel();
            clients.add(client);
            if (i % CONNECTS_AT_ONCE == 0) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
        }
        clients.forEach(c -> c.ask(PING));
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        return clients;
    }

    private static void resting(int standIn) throws Exception {
        System.out.println("| resting clients | heap KB | direct KB | descriptors | share of a core at rest | closed "
            + "meanwhile |\n"
            + "| --- | --- | --- | --- | --- | --- |");
        double[] at = new double[RESTING.length];
        double[] memory = new double[RESTING.length];
        double[] cpu = new double[RESTING.length];
        for (int i = 0; i < RESTING.length; i++) {
            try (Child child = new Child(standIn, 1_000)) {
                List<Client> clients = connect(child.port, RESTING[i]);
                CLOSED.set(0);
                Figures before = child.figures();
                TimeUnit.MILLISECONDS.sleep(MEASURED_MS);
                Figures after = child.figures();
                at[i] = RESTING[i];
                memory[i] = (after.heap + after.direct) / 1e3;
                cpu[i] = (after.cpuBefore - before.cpuAfter) / MEASURED_MS * 100;
                System.out.printf(Locale.ROOT, "| %d | %.0f | %.0f | %d | %.2f%% | %d |%n", RESTING[i], after.heap / 1e3,
                    after.direct / 1e3,
                    after.descriptors, cpu[i], CLOSED.get());
                clients.forEach(c -> c.channel.close());
            }
        }
        System.out.println(LineFit.through(at, memory).text("heap and direct", "resting clients", "KB"));
        System.out.println(LineFit.through(at, cpu).text("share of a core at rest", "resting clients", "%"));
    }

    private static byte[] get(int number, int nodes) {
        String arrival = "c=dump-read,t=padrao,d=1200,volume=v" + number % 1_000 + ",units=2,shard=" + number * 7 % nodes
            + ",hosts=3";
        String id = "i" + number;
        return ("*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$" + id.length() + "\r\n" + id + "\r\n$" + arrival.length() + "\r\n"
            + arrival + "\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    }

    private static void loaded(int standIn) throws Exception {
        System.out.println("| nodes | clients | requests a second asked | served a second | refused a second | ms of "
            + "processor a request "
            + "| share of a core | p50 ms | p99 ms | descriptors | heap and direct KB |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int nodes : NODES) {
            double[] at = new double[RATES.length];
            double[] cpu = new double[RATES.length];
            for (int i = 0; i < RATES.length; i++) {
                try (Child child = new Child(standIn, nodes)) {
                    List<Client> clients = connect(child.port, Math.min(RATES[i] * CLIENTS_A_RATE, 3_333));
                    ask(clients, RATES[i], nodes, SETTLE_MS);
                    LATENCY.reset();
                    SERVED.set(0);
                    REFUSED.set(0);
                    Figures before = child.figures();
                    double seconds = ask(clients, RATES[i], nodes, MEASURED_MS);
                    Figures after = child.figures();
                    at[i] = RATES[i];
                    cpu[i] = (after.cpuBefore - before.cpuAfter) / seconds / 10;
                    int answered = SERVED.get() + REFUSED.get();
                    System.out.printf(Locale.ROOT, "| %d | %d | %d | %.0f | %.0f | %.3f | %.1f%% | %.1f | %.1f | %d | "
                        + "%.0f |%n", nodes,
                        clients.size(), RATES[i], SERVED.get() / seconds, REFUSED.get() / seconds,
                        (after.cpuBefore - before.cpuAfter) / Math.max(1, answered), cpu[i],
                        LATENCY.getValueAtPercentile(50) / 1e3,
                        LATENCY.getValueAtPercentile(99) / 1e3, after.descriptors, (after.heap + after.direct) / 1e3);
                    clients.forEach(c -> c.channel.close());
                }
            }
            System.out.println(LineFit.through(at, cpu).text("share of a core with " + nodes + " nodes",
                "requests a second", "%"));
        }
    }

    /** Asks in turn at this rate; returns the seconds that passed. */
    private static double ask(List<Client> clients, int rate, int nodes, int millis) throws InterruptedException {
        long from = System.nanoTime();
        long until = from + millis * 1_000_000L;
        int asked = 0;
        while (System.nanoTime() < until) {
            long due = (System.nanoTime() - from) * rate / 1_000_000_000L;
            while (asked < due) {
                clients.get(asked % clients.size()).ask(get(asked++, nodes));
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return (System.nanoTime() - from) / 1e9;
    }

    /** Plays all sizes and prints the figures with their fits. */
    public static void main(String[] args) throws Exception {
        int standIn = standInNodes();
        resting(standIn);
        loaded(standIn);
        System.exit(0);
    }
}
