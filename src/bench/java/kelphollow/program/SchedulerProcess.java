package kelphollow.program;

import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.PlatformDependent;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.transport.WheelTicker;

/**
 * The platform's scheduler in a process of its own, so that {@link DataPathCost} sees its memory and processor time alone.
 * Each
 * line on its input is answered by one with its figures: processor time before and after a collection, memory after it.
 * Ends with its input.
 */
public final class SchedulerProcess {
    private static final int DIAL_TIMEOUT = 250;
    private static final double IDLE_TIME = 12_000;
    private static final long TICK = 2;

    private SchedulerProcess() {}

    /** {@code args}: the stand-in nodes' port, the number of nodes, the limit of descriptors. */
    public static void main(String[] args) throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        List<ResolvedEndpoint> members = new ArrayList<>();
        InetSocketAddress standIn = new InetSocketAddress("127.0.0.1", Integer.parseInt(args[0]));
        for (int n = 0; n < Integer.parseInt(args[1]); n++) {
            members.add(new ResolvedEndpoint(new Endpoint("n" + n, "a", n, EndpointState.HEALTHY, 0), standIn));
        }
        Map<String, Object> settings = ServerHarness.part(ServerHarness.example(), "settings");
        Config config = new Config("capacity", null, new InetSocketAddress("127.0.0.1", 1), 1, Integer.parseInt(args[2]),
            DIAL_TIMEOUT,
            IDLE_TIME, new DiscoveryList(1, true, members), Config.settings(settings), Config.Operations.NONE);
        Scheduler scheduler = Scheduler.of(config, loop, new WheelTicker(loop, TICK));
        System.out.println(scheduler.listen(new InetSocketAddress("127.0.0.1", 0)).getPort());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
        while (in.readLine() != null) {
            System.out.println(figures());
        }
        System.exit(0);
    }

    private static String figures() {
        UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpu = system.getProcessCpuTime();
        System.gc();
        return cpu + " " + system.getProcessCpuTime() + " " + ManagementFactory.getMemoryMXBean().getHeapMemoryUsage()
            .getUsed() + " "
            + PlatformDependent.usedDirectMemory() + " " + system.getOpenFileDescriptorCount();
    }
}
