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
 * Runs the platform's scheduler in a separate process, so that {@link DataPathCost} measures the memory and processor time
 * of the scheduler alone. Prints the port first, then one line per input line: processor time before and after a garbage
 * collection, heap and direct memory after it, and open descriptors. Exits at the end of its input.
 */
public final class SchedulerProcess {
    private static final int DIAL_TIMEOUT_MS = 250;
    private static final double IDLE_TIME_MS = 12_000;
    private static final long TICK_MS = 2;

    private SchedulerProcess() {}

    /** Arguments: the port of the stub nodes, the number of nodes, the limit of open descriptors. */
    public static void main(String[] args) throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        InetSocketAddress stubNode = new InetSocketAddress("127.0.0.1", Integer.parseInt(args[0]));
        for (int n = 0; n < Integer.parseInt(args[1]); n++) {
            endpoints.add(new ResolvedEndpoint(new Endpoint("n" + n, "a", n, EndpointState.HEALTHY, 0), stubNode));
        }
        Map<String, Object> settings = ServerHarness.section(ServerHarness.example(), "settings");
        PlatformConfig config = new PlatformConfig("capacity", null, new InetSocketAddress("127.0.0.1", 1), 1, Integer
            .parseInt(args[2]),
            DIAL_TIMEOUT_MS,
            IDLE_TIME_MS, new DiscoveryList(1, true, endpoints), SettingsConfig.read(settings),
            PlatformConfig.Operations.NONE);
        Scheduler scheduler = PlatformScheduler.start(config, loop, new WheelTicker(loop, TICK_MS));
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
