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
 * Measures memory, descriptors and processor time of one scheduler process by the number of idle clients and by requests
 * per second, over the loopback interface: {@code mvn -B -q -Pbench test-compile exec:exec@data-path}. Clients and stub
 * nodes run in this process on the same machine, so the latencies include their processor time too.
 */
public final class DataPathCost {
    private static final int[] IDLE_CLIENTS = {200, 500, 1_000, 2_000, 3_333};
    private static final int[] RATES = {100, 200, 400, 843};
    private static final int[] NODES = {10, 1_000};
    private static final int MAX_DESCRIPTORS = 16_000;
    private static final int CLIENTS_PER_REQUEST_RATE = 4;
    private static final int CONNECT_BATCH = 100;
    private static final int SETTLE_MS = 1_500;
    private static final int MEASURED_MS = 4_000;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final byte[] PING = "*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] REPLY = "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private static final ConcurrentHistogram LATENCY = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger CLOSED = new AtomicInteger();

    private DataPathCost() {}

    /** Processor time in milliseconds before and after the garbage collection, and memory in bytes after it. */
    private record Measurement(double cpuBefore, double cpuAfter, double heap, double direct, int descriptors) {}

    /** The scheduler process; {@code close} kills it. */
    private static final class SchedulerChild implements AutoCloseable {
        final Process process;
        final BufferedReader out;
        final int port;

        SchedulerChild(int stubPort, int nodes) throws IOException {
            process = new ProcessBuilder(List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-Xmx256m",
                "-XX:MaxDirectMemorySize=256m", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "kelphollow.program.SchedulerProcess", "" + stubPort, "" + nodes, "" + MAX_DESCRIPTORS))
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            out = new BufferedReader(new InputStreamReader(process.getInputStream()));
            port = Integer.parseInt(out.readLine());
        }

        Measurement measure() throws IOException {
            OutputStream in = process.getOutputStream();
            in.write('\n');
            in.flush();
            String[] words = out.readLine().split(" ");
            return new Measurement(Long.parseLong(words[0]) / 1e6, Long.parseLong(words[1]) / 1e6, Long.parseLong(words[2]),
                Long.parseLong(words[3]), Integer.parseInt(words[4]));
        }

        @Override public void close() {
            process.destroyForcibly();
        }
    }

    /** A client connection with one request in flight at a time. */
    private static final class Client extends ChannelInboundHandlerAdapter {
        volatile Channel channel;
        private volatile long sentAt;

        void send(byte[] command) {
            sentAt = System.nanoTime();
            channel.writeAndFlush(Unpooled.wrappedBuffer(command));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            (bytes.getByte(bytes.readerIndex()) == '$' ? SERVED : REFUSED).incrementAndGet();
            LATENCY.recordValue(Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - sentAt) / 1_000));
            ReferenceCountUtil.release(message);
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            CLOSED.incrementAndGet();
        }
    }

    private static int startStubNodes() {
        Channel server = new ServerBootstrap().group(GROUP).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
                            ReferenceCountUtil.release(message);
                            ctx.writeAndFlush(Unpooled.wrappedBuffer(REPLY));
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
            if (i % CONNECT_BATCH == 0) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
        }
        clients.forEach(c -> c.send(PING));
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        return clients;
    }

    private static void measureIdleClients(int stubPort) throws Exception {
        System.out.println("| resting clients | heap KB | direct KB | descriptors | share of a core at rest | closed "
            + "meanwhile |\n"
            + "| --- | --- | --- | --- | --- | --- |");
        double[] at = new double[IDLE_CLIENTS.length];
        double[] memory = new double[IDLE_CLIENTS.length];
        double[] cpu = new double[IDLE_CLIENTS.length];
        for (int i = 0; i < IDLE_CLIENTS.length; i++) {
            try (SchedulerChild scheduler = new SchedulerChild(stubPort, 1_000)) {
                List<Client> clients = connect(scheduler.port, IDLE_CLIENTS[i]);
                CLOSED.set(0);
                Measurement before = scheduler.measure();
                TimeUnit.MILLISECONDS.sleep(MEASURED_MS);
                Measurement after = scheduler.measure();
                at[i] = IDLE_CLIENTS[i];
                memory[i] = (after.heap + after.direct) / 1e3;
                cpu[i] = (after.cpuBefore - before.cpuAfter) / MEASURED_MS * 100;
                System.out.printf(Locale.ROOT, "| %d | %.0f | %.0f | %d | %.2f%% | %d |%n", IDLE_CLIENTS[i], after.heap
                    / 1e3,
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

    private static void measureLoad(int stubPort) throws Exception {
        System.out.println("| nodes | clients | requests a second asked | served a second | refused a second | ms of "
            + "processor a request "
            + "| share of a core | p50 ms | p99 ms | descriptors | heap and direct KB |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int nodes : NODES) {
            double[] at = new double[RATES.length];
            double[] cpu = new double[RATES.length];
            for (int i = 0; i < RATES.length; i++) {
                try (SchedulerChild scheduler = new SchedulerChild(stubPort, nodes)) {
                    List<Client> clients = connect(scheduler.port, Math.min(RATES[i] * CLIENTS_PER_REQUEST_RATE, 3_333));
                    sendRequests(clients, RATES[i], nodes, SETTLE_MS);
                    LATENCY.reset();
                    SERVED.set(0);
                    REFUSED.set(0);
                    Measurement before = scheduler.measure();
                    double seconds = sendRequests(clients, RATES[i], nodes, MEASURED_MS);
                    Measurement after = scheduler.measure();
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

    /** Sends requests at this rate, round robin over the clients; returns the elapsed seconds. */
    private static double sendRequests(List<Client> clients, int rate, int nodes, int millis) throws InterruptedException {
        long from = System.nanoTime();
        long until = from + millis * 1_000_000L;
        int sent = 0;
        while (System.nanoTime() < until) {
            long due = (System.nanoTime() - from) * rate / 1_000_000_000L;
            while (sent < due) {
                clients.get(sent % clients.size()).send(get(sent++, nodes));
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return (System.nanoTime() - from) / 1e9;
    }

    /** Measures all sizes and prints the tables with their fitted lines. */
    public static void main(String[] args) throws Exception {
        int stubPort = startStubNodes();
        measureIdleClients(stubPort);
        measureLoad(stubPort);
        System.exit(0);
    }
}
