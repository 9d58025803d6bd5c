package kelphollow.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.peer.Traffic;

/**
 * The instances of a fleet that are processes of the program, as an operator would start them, without clients. Their
 * traffic is read over their management lines; they cannot tell that the others are simulated. Confined to the run's thread,
 * but for {@link #close}, which an interrupted run calls from its shutdown hook.
 */
final class RealInstances implements ScaleRun.ExternalInstances, AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int TIMEOUT_MILLIS = 5_000;
    /** How often a process polls discovery, in milliseconds; the response has all endpoints. */
    private static final int REFRESH_MILLIS = 5_000;
    /** Last lines of the log of a process that ended by itself, for the message. */
    private static final int LOG_LINES = 3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String REPLY_PREFIX = "ACK ";
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;

    private static final class Instance {
        final int index;
        final Path folder;
        int managementPort;
        Process process;
        Status before;
        Status after;

        Instance(int index, Path folder) {
            this.index = index;
            this.folder = folder;
        }
    }

    /** The status of a process at one moment. */
    private record Status(long nanos, TrafficCount traffic, Duration cpu, double residentMegabytes, Map<?, ?> fleet) {}

    private final ScaleScenario scenario;
    private final NetworkModel network;
    private final DiscoveryStandIn discovery;
    private final List<Instance> instances = new ArrayList<>();
    private Set<String> runningAtEnd = Set.of();

    RealInstances(ScaleScenario scenario, NetworkModel network, DiscoveryStandIn discovery, Path folder) throws IOException {
        this.scenario = scenario;
        this.network = network;
        this.discovery = discovery;
        Path key = folder.resolve("key");
        Files.write(key, SimulatedInstance.KEY);
        for (int i = scenario.simulated(); i < scenario.instances(); i++) {
            Instance instance = new Instance(i, Files.createDirectories(folder.resolve(ScaleScenario.nameOf(i))));
            instance.managementPort = freePort();
            Files.writeString(instance.folder.resolve("config.json"), Json.text(config(instance, key)));
            instances.add(instance);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, new InetSocketAddress(LOOPBACK, 0).getAddress())) {
            return socket.getLocalPort();
        }
    }

    private Map<String, Object> config(Instance of, Path key) throws IOException {
        Map<String, Object> peers = new TreeMap<>();
        for (int seed : SimulatedInstance.seeds(scenario)) {
            peers.put(ScaleScenario.nameOf(seed), text(network.addressOf(seed)));
        }
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", ScaleScenario.nameOf(of.index));
        config.put("listen", LOOPBACK + ":" + freePort());
        config.put("mgmt", LOOPBACK + ":" + of.managementPort);
        config.put("buckets", Map.of("v", Map.of("plan", SimulatedNodes.PLAN, "gateways", scenario.instances())));
        config.put("objects", Map.of("shards", scenario.nodes(),
            "classes", Map.of("read", "read", "write", SimulatedNodes.CLASS)));
        config.put("store", Map.of("folders",
            List.of(of.folder.resolve("a").toString(), of.folder.resolve("b").toString())));
        config.put("xds",
            Map.of("cluster", "scale", "server", LOOPBACK + ":" + discovery.port(), "refresh_ms", REFRESH_MILLIS));
        config.put("fleet", Map.of("listen", text(network.addressOf(of.index)), "peers", peers, "key_file", key.toString(),
            "period_ms", scenario.period(), "fades_ms", scenario.timeToLive(),
            "events", of.folder.resolve("events.jsonl").toString()));
        config.put("settings", settings(of.index));
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

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    // ---------------------------------------------------------------- processes

    void start() throws IOException {
        for (Instance instance : instances) {
            ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx96m", "-cp", System.getProperty("java.class.path"),
                "kelphollow.program.Main", "serve", "--config", instance.folder.resolve("config.json").toString())
                .redirectErrorStream(true).redirectOutput(instance.folder.resolve("log").toFile());
            builder.environment().put("TMPDIR", instance.folder.toString());
            instance.process = builder.start();
        }
    }

    boolean isProcess(int index) {
        return index >= scenario.simulated();
    }

    /** Processes that ended by themselves. */
    List<String> crashed() {
        return instances.stream().filter(instance -> instance.process != null && !instance.process.isAlive())
            .map(instance -> ScaleScenario.nameOf(instance.index)).toList();
    }

    @Override public Set<String> names() {
        return instances.stream().map(instance -> ScaleScenario.nameOf(instance.index)).collect(Collectors.toSet());
    }

    @Override public void begin() throws IOException {
        for (Instance instance : instances) {
            instance.before = status(instance);
        }
    }

    @Override public void end(Set<String> running) throws IOException {
        runningAtEnd = running;
        for (Instance instance : instances) {
            instance.after = status(instance);
        }
    }

    private static Status status(Instance instance) throws IOException {
        if (!instance.process.isAlive()) {
            List<String> log = Files.readAllLines(instance.folder.resolve("log"));
            throw new IOException("the process of " + ScaleScenario.nameOf(instance.index) + " ended by itself: "
                + String.join(" / ", log.subList(Math.max(0, log.size() - LOG_LINES), log.size())));
        }
        Map<?, ?> fleet = fleetStatus(instance.managementPort);
        TrafficCount count = new TrafficCount();
        Map<?, ?> traffic = (Map<?, ?>) fleet.get("traffic");
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            List<?> figures = (List<?>) traffic.get(kind.name().toLowerCase(Locale.ROOT));
            count.set(kind, figures.stream().mapToLong(figure -> ((Double) figure).longValue()).toArray());
        }
        return new Status(System.nanoTime(), count, instance.process.info().totalCpuDuration().orElse(Duration.ZERO),
            residentMegabytes(instance.process.pid()), fleet);
    }

    private static Map<?, ?> fleetStatus(int port) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write("fleet status\n".getBytes(StandardCharsets.US_ASCII));
            String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!reply.startsWith(REPLY_PREFIX + "{")) {
                throw new IOException("an instance answered: " + reply);
            }
            return (Map<?, ?>) Json.parse(reply.substring(REPLY_PREFIX.length()).strip());
        }
    }

    /** Resident memory of a process in megabytes; 0 where the system does not report it. */
    private static double residentMegabytes(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KILOBYTES_PER_MEGABYTE;
                }
            }
        } catch (IOException e) {
            // reported as 0
        }
        return 0;
    }

    // ---------------------------------------------------------------- figures

    /** What all real instances sent and received while they were measured. */
    private TrafficCount total() {
        TrafficCount total = new TrafficCount();
        instances.forEach(instance -> total.add(instance.after.traffic.since(instance.before.traffic)));
        return total;
    }

    /** Over how many seconds, summed over instances. */
    private double instanceSeconds() {
        return instances.stream()
            .mapToDouble(instance -> (instance.after.nanos - instance.before.nanos) / NANOS_PER_SECOND).sum();
    }

    /** Means over the real instances, and the simulated ones compared with them; empty without any. */
    Map<String, Object> figures(Samples simulated, List<String> failures) {
        if (instances.isEmpty()) {
            return Map.of();
        }
        TrafficCount total = total();
        double seconds = instanceSeconds();
        double cpu = 0;
        double memory = 0;
        double fresh = 0;
        for (Instance instance : instances) {
            cpu += instance.after.cpu.minus(instance.before.cpu).toNanos() / NANOS_PER_SECOND;
            memory += instance.after.residentMegabytes / instances.size();
            fresh += freshShare(instance.after.fleet) / instances.size();
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("datagrams_per_second", Percentiles.rounded(total.datagramsOut() / seconds));
        figures.put("bytes_per_second", Percentiles.rounded(total.wireOut() / seconds));
        figures.put("bytes_in_per_second", Percentiles.rounded(total.wireIn() / seconds));
        figures.put("core_share", Percentiles.rounded(cpu / seconds));
        figures.put("resident_mb", Percentiles.rounded(memory));
        figures.put("parts_fresh_share", Percentiles.rounded(fresh));
        figures.put("by_kind", Samples.byKind(total, seconds));
        figures.put("discovery_answers", discovery.responses());
        Map<String, Object> ratios = FidelityCheck.ratios(simulated.total(), simulated.instanceSeconds(), total, seconds);
        figures.put("hollow_by_real", ratios);
        figures.put("likeness_judged", total.datagramsOut() >= FidelityCheck.MIN_DATAGRAMS);
        FidelityCheck.verify(ratios, total.datagramsOut(), failures);
        return figures;
    }

    private double freshShare(Map<?, ?> fleet) {
        long fresh = ((List<?>) fleet.get("members")).stream()
            .filter(m -> ((Map<?, ?>) m).get("said_ms_ago") instanceof Double age && age < scenario.timeToLive()).count();
        return fresh / (double) scenario.instances();
    }

    /** Adds what does not hold of the processes. */
    void verify(List<String> failures) {
        List<String> crashed = crashed();
        if (!crashed.isEmpty()) {
            failures.add("crash: processes ended by themselves: " + crashed);
        }
        long disagreeing = network.hasPartitions() ? 0 : disagreeing(runningAtEnd);
        if (disagreeing > 0) {
            failures.add("agree: " + disagreeing + " processes see others than just the running instances at the end");
        }
    }

    /** How many of the real instances report others than just these as present. */
    private long disagreeing(Set<String> running) {
        return instances.stream().filter(instance -> {
            Set<String> present = new TreeSet<>();
            for (Object m : (List<?>) instance.after.fleet.get("members")) {
                if (Set.of("alive", "suspect").contains(((Map<?, ?>) m).get("state"))) {
                    present.add((String) ((Map<?, ?>) m).get("name"));
                }
            }
            return !present.equals(running);
        }).count();
    }

    /** Ends every process and waits until it has ended. */
    @Override public void close() {
        for (Instance instance : instances) {
            if (instance.process != null) {
                instance.process.destroyForcibly().onExit().join();
            }
        }
    }
}
