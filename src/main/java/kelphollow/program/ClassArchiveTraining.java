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
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.resp.RespWarmup;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.transport.WheelTicker;
import org.kohsuke.args4j.Option;

/**
 * {@code train}: uses what {@code serve} uses, once, and ends. The build runs it under
 * {@code -XX:ArchiveClassesAtExit}: with those classes at hand in an archive a scheduler starts in half the time, and
 * so long its clients are without one after a restart.
 */
public final class ClassArchiveTraining implements Main.Command {
    private static final int GUARD_MILLIS = 2_000;

    @Option(name = "--config", metaVar = "FILE", required = true, usage = "a file for the object API; its settings are used")
    private String file;

    @Override public int run(PrintStream out, PrintStream err) throws Config.Bad, IOException {
        var settings = ObjectConfig.read(file).settings();
        RespWarmup.run(settings, 0);
        InetSocketAddress self;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            self = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        // It is its own storage node, which fails a request since its id is open, and its own discovery, which fails.
        ResolvedEndpoint node = new ResolvedEndpoint(new Endpoint("self", "", 0, EndpointState.HEALTHY, 0), self);
        try (WheelTicker ticker = new WheelTicker(loop, Serve.TICK)) {
            Config config = new Config("train", self, self, 0, 256, 250, 12_000, new DiscoveryList(1, true, List.of(
                node)), settings,
                Config.Operations.NONE);
            Scheduler.of(config, loop, ticker).listen(self);
            try (Socket client = new Socket(self.getAddress(), self.getPort())) {
                client.setSoTimeout(GUARD_MILLIS);
                String values = "k=k,c=" + settings.classes().get(0).name() + ",t=" + settings.plans().get(0).name()
                    + ",d=1000,volume=v,units=1,shard=0,hosts=1";
                client.getOutputStream().write(("*1\r\n$4\r\nPING\r\n*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$"
                    + values.length() + "\r\n" + values + "\r\n").getBytes(StandardCharsets.US_ASCII));
                String answers = "+PONG\r\n-BUSY";   // the node's errors are repeated, then the request is given up
                String got = new String(client.getInputStream().readNBytes(answers.length()), StandardCharsets.US_ASCII);
                out.println(got.equals(answers) ? "trained" : "got " + got);
                return got.equals(answers) ? 0 : 1;
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
