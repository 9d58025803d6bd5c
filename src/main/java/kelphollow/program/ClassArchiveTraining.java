package kelphollow.program;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.object.ObjectWarmup;
import kelphollow.protocol.resp.RespWarmup;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.transport.WheelTicker;
import org.kohsuke.args4j.Option;

/**
 * {@code train}: loads the classes that {@code serve} uses by serving two commands, then exits. The build runs it under
 * {@code -XX:ArchiveClassesAtExit}; the resulting class archive halves the start time of a scheduler, during which its
 * clients are without one after a restart.
 */
public final class ClassArchiveTraining implements Main.Command {
    private static final int READ_TIMEOUT_MS = 2_000;
    private static final int MAX_SOCKETS = 256;
    private static final int DIAL_TIMEOUT_MS = 250;
    private static final double IDLE_TIME_MS = 12_000;
    /** The node fails each attempt, so OBJ.GET ends in -BUSY once its retries are used up. */
    private static final String EXPECTED_REPLIES = "+PONG\r\n-BUSY";

    @Option(name = "--config", metaVar = "FILE", required = true, usage = "a file for the object API; its settings are used")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws ConfigurationException, IOException {
        ObjectConfig objects = ObjectConfig.read(file);
        ControlSettings settings = objects.settings();
        RespWarmup.run(settings, 0);
        ObjectWarmup.run(settings, objects.options(), 0);
        InetSocketAddress self;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            self = new InetSocketAddress(probe.getInetAddress(), probe.getLocalPort());
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try (WheelTicker ticker = new WheelTicker(loop, Serve.TICK_MS)) {
            PlatformScheduler.start(config(settings, self), loop, ticker).listen(self);
            String actualReplies = request(self, settings);
            boolean expected = actualReplies.equals(EXPECTED_REPLIES);
            out.println(expected ? "trained" : "got " + actualReplies);
            return expected ? 0 : 1;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /**
     * Points both the storage node and discovery at the scheduler itself. As a node it fails the request, whose id is
     * already open; as discovery it fails each call.
     */
    private static PlatformConfig config(ControlSettings settings, InetSocketAddress self) {
        ResolvedEndpoint node = new ResolvedEndpoint(new Endpoint("self", "", 0, EndpointState.HEALTHY, 0), self);
        return new PlatformConfig("train", self, self, 0, MAX_SOCKETS, DIAL_TIMEOUT_MS, IDLE_TIME_MS,
            new DiscoveryList(1, true, List.of(node)), settings, PlatformConfig.Operations.NONE);
    }

    /** Sends PING and OBJ.GET and reads as many bytes as the expected replies have. */
    private static String request(InetSocketAddress self, ControlSettings settings) throws IOException {
        try (Socket client = new Socket(self.getAddress(), self.getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MS);
            String fields = "k=k,c=" + settings.classes().get(0).name() + ",t=" + settings.plans().get(0).name()
                + ",d=1000,volume=v,units=1,shard=0,hosts=1";
            client.getOutputStream().write(("*1\r\n$4\r\nPING\r\n*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$"
                + fields.length() + "\r\n" + fields + "\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readNBytes(EXPECTED_REPLIES.length()), StandardCharsets.US_ASCII);
        }
    }
}
