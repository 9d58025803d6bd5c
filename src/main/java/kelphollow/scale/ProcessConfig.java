package kelphollow.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Builds the configuration files of a run's processes, in the keys of {@code serve}. Confined to the run's thread. */
final class ProcessConfig {
    /** Interval at which a process polls discovery, in milliseconds; each response lists all endpoints. */
    private static final int REFRESH_MILLIS = 5_000;

    private final ScaleScenario scenario;
    private final NetworkModel network;
    private final int discoveryPort;

    ProcessConfig(ScaleScenario scenario, NetworkModel network, int discoveryPort) {
        this.scenario = scenario;
        this.network = network;
        this.discoveryPort = discoveryPort;
    }

    /** Returns a TCP port that is free now; another process may still take it before it is bound. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, new InetSocketAddress(RealInstance.LOOPBACK, 0).getAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns the configuration of an instance as JSON values; {@code key} is the fleet's key file. */
    Map<String, Object> configOf(RealInstance instance, Path key) throws IOException {
        Map<String, Object> peers = new TreeMap<>();
        for (int seed : SimulatedInstance.seeds(scenario)) {
            peers.put(ScaleScenario.nameOf(seed), hostAndPort(network.addressOf(seed)));
        }
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", ScaleScenario.nameOf(instance.index()));
        config.put("listen", RealInstance.LOOPBACK + ":" + freePort());
        config.put("mgmt", RealInstance.LOOPBACK + ":" + instance.managementPort());
        config.put("buckets", Map.of("v", Map.of("plan", SimulatedNodes.PLAN, "gateways", scenario.instances())));
        config.put("objects", Map.of("shards", scenario.nodes(),
            "classes", Map.of("read", "read", "write", SimulatedNodes.CLASS)));
        config.put("store", Map.of("folders",
            List.of(instance.folder().resolve("a").toString(), instance.folder().resolve("b").toString())));
        config.put("xds",
            Map.of("cluster", "scale", "server", RealInstance.LOOPBACK + ":" + discoveryPort, "refresh_ms", REFRESH_MILLIS));
        config.put("fleet", Map.of("listen", hostAndPort(network.addressOf(instance.index())), "peers", peers, "key_file",
            key
                .toString(),
            "period_ms", scenario.period(), "fades_ms", scenario.timeToLive(),
            "events", instance.folder().resolve("events.jsonl").toString()));
        config.put("settings", settings(instance.index()));
        return config;
    }

    private Map<String, Object> settings(int index) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("me", index);
        settings.put("fleet_size", scenario.instances());
        settings.put("tick", 2);
        settings.put("discovery", "subscribe");
        settings.put("ceilings", Map.of("cancel", true, "most_tries", 3, "retry_after", true, "max_retry_after", 1_000));
        settings.put("contract", Map.of("drain_grace", 250));
        settings.put("extra", Map.of("unit_mean", 1, "share_worth", 0.35, "beyond_share", 0.05));
        settings.put("grades", List.of(Map.of("name", SimulatedNodes.PLAN, "rate", 1_000, "reserve", 0, "proportion", 1,
            "value_factor", 1, "ceiling_rate", 0, "limit_burst", 0, "tolerance", 0)));
        settings.put("request_classes", List.of(
            Map.of("name", "read", "aim", 250, "deadline", 2_000, "effect", "pure", "worth", 2, "late_share", 0.2),
            Map.of("name", SimulatedNodes.CLASS, "aim", 500, "deadline", 2_000, "effect", "side_effect", "worth", 2,
                "late_share", 0.1)));
        return settings;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
