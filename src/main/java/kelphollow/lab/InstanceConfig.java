package kelphollow.lab;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the configuration file of each instance of a scenario. */
final class InstanceConfig {
    /** Latency objective of reads, in milliseconds. */
    static final int READ_OBJECTIVE_MS = 250;
    /** Latency objective of writes, in milliseconds. */
    static final int WRITE_OBJECTIVE_MS = 500;
    private static final int DEADLINE_MS = 2_000;
    private static final double GOLD_WEIGHT = 3;

    private final Scenario scenario;
    private final int controlPlanePort;
    private final Path key;

    /** {@code key} is the file with the key that the whole fleet shares. */
    InstanceConfig(Scenario scenario, int controlPlanePort, Path key) {
        this.scenario = scenario;
        this.controlPlanePort = controlPlanePort;
        this.key = key;
    }

    /** Builds the configuration of an instance that reaches its peers at these addresses. */
    Map<String, Object> build(InstanceProcess instance, Map<String, Object> peers) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", instance.name());
        config.put("listen", address(instance.clientPort()));
        config.put("mgmt", address(instance.managementPort()));
        config.put("buckets", Map.of("lab", Map.of("plan", "lab", "gateways", scenario.instances()),
            "gold", Map.of("plan", "gold", "gateways", Math.max(1, scenario.gold().size()))));
        config.put("objects", Map.of("shards", scenario.nodes(), "classes", Map.of("read", "read", "write", "write")));
        config.put("store", Map.of("folders", List.of(instance.storeFolder().resolve("a").toString(),
            instance.storeFolder().resolve("b").toString())));
        config.put("xds", Map.of("cluster", "lab", "server", address(controlPlanePort), "refresh_ms", 50));
        config.put("fleet", Map.of("listen", address(instance.peerPort()), "peers", peers, "key_file", key.toString(),
            "period_ms", scenario.period(), "findings", scenario.sharesFindings(), "repeats", scenario.retryShare(), "shed",
            scenario.shedsLoad(), "events", instance.eventsFile().toString()));
        config.put("settings", settings(instance));
        return config;
    }

    private static String address(int port) {
        return "127.0.0.1:" + port;
    }

    private Map<String, Object> settings(InstanceProcess instance) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("me", Integer.parseInt(instance.name().substring(1)));
        settings.put("fleet_size", scenario.instances());
        settings.put("tick", 2);
        settings.put("discovery", "subscribe");
        settings.put("ceilings", Map.of("cancel", true, "most_tries", 3, "retry_after", true, "max_retry_after", 1_000));
        settings.put("contract", Map.of("drain_grace", 250));
        settings.put("extra", Map.of("unit_mean", 1, "share_worth", 0.35, "beyond_share", 0.05));
        settings.put("grades", List.of(plan("lab", 1), plan("gold", GOLD_WEIGHT)));
        settings.put("request_classes", List.of(
            Map.of("name", "read", "aim", READ_OBJECTIVE_MS, "deadline", DEADLINE_MS, "effect", "pure", "worth", 2,
                "late_share", 0.2),
            Map.of("name", "write", "aim", WRITE_OBJECTIVE_MS, "deadline", DEADLINE_MS, "effect", "side_effect", "worth", 2,
                "late_share", 0.1)));
        return settings;
    }

    /** Neither plan reserves half of the nodes' capacity: the priority weight takes effect only beyond the reserve. */
    private Map<String, Object> plan(String name, double weight) {
        return Map.of("name", name, "rate", 1_000, "reserve", 10, "proportion", 1, "value_factor", weight,
            "ceiling_rate", scenario.limit().rate(), "limit_burst", scenario.limit().burst(),
            "tolerance", scenario.limit().slack());
    }
}
