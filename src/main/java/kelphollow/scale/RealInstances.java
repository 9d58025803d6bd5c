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
 * The instances of a fleet that are processes of the program, as an operator would start them, without clients. They are
 * asked over their management lines what they sent; they cannot tell that the others are hollow.
 */
final class RealInstances implements ScaleRun.Others, AutoCloseable {
    private static final String HERE = "127.0.0.1";
    private static final int PATIENCE = 5_000;
    // How often a process asks discovery; the answer holds all nodes.
    private static final int REFRESH = 5_000;
    private static final int LOG_LINES = 3;
    private static final double MEGABYTE_IN_KILOBYTES = 1_024;

    private static final class Instance {
        final int index;
        final Path folder;
        int mgmt;
        Process process;
        Status before, after;

        Instance(int index, Path folder) {
            this.index = index;
            this.folder = folder;
        }
    }

    /** What a process says of itself at one moment. */
    private record Status(long nanos, TrafficCount traffic, Duration cpu, double residentMegabytes, Map<?, ?> fleet) {}

    private final ScaleScenario scenario;
    private final NetworkModel network;
    private final DiscoveryStandIn discovery;
    private final List<Instance> all = new ArrayList<>();
    private Set<String> runningAtEnd = Set.of();

    RealInstances(ScaleScenario scenario, NetworkModel network, DiscoveryStandIn discovery, Path folder) throws IOException {
        this.scenario = scenario;
        this.network = network;
        this.discovery = discovery;
        Path key = folder.resolve("key");
        Files.write(key, SimulatedInstance.KEY);
        for (int i = scenario.hollow(); i < scenario.instances(); i++) {
            Instance instance = new Instance(i, Files.createDirectories(folder.resolve(ScaleScenario.nameOf(i))));
            instance.mgmt = freePort();
            Files.writeString(instance.folder.resolve("config.json"), Json.text(config(instance, key)));
            all.add(instance);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, new InetSocketAddress(HERE, 0).getAddress())) {
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
        config.put("listen", HERE + ":" + freePort());
        config.put("mgmt", HERE + ":" + of.mgmt);
        config.put("buckets", Map.of("v", Map.of("plan", SimulatedNodes.PLAN, "gateways", scenario.instances())));
        config.put("objects", Map.of("shards", scenario.nodes(),
            "classes", Map.of("read", "read", "write", SimulatedNodes.CLASS)));
        config.put("store", Map.of("folders",
            List.of(of.folder.resolve("a").toString(), of.folder.resolve("b").toString())));
        config.put("xds", Map.of("cluster", "scale", "server", HERE + ":" + discovery.port(), "refresh_ms", REFRESH));
        config.put("fleet", Map.of("listen", text(network.addressOf(of.index)), "peers", peers, "key_file", key.toString(),
            "period_ms", scenario.period(), "fades_ms", scenario.fades(),
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
        for (Instance i : all) {
            ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx96m", "-cp", System.getProperty("java.class.path"),
                "kelphollow.program.Main", "serve", "--config", i.folder.resolve("config.json").toString())
                .redirectErrorStream(true).redirectOutput(i.folder.resolve("log").toFile());
            builder.environment().put("TMPDIR", i.folder.toString());
            i.process = builder.start();
        }
    }

    boolean isProcess(int index) {
        return index >= scenario.hollow();
    }

    /** Processes that ended by themselves. */
    List<String> crashed() {
        return all.stream().filter(i -> i.process != null && !i.process.isAlive())
            .map(i -> ScaleScenario.nameOf(i.index)).toList();
    }

    @Override public Set<String> names() {
        return all.stream().map(i -> ScaleScenario.nameOf(i.index)).collect(Collectors.toSet());
    }

    @Override public void begin() throws IOException {
        for (Instance i : all) {
            i.before = status(i);
        }
    }

    @Override public void end(Set<String> running) throws IOException {
        runningAtEnd = running;
        for (Instance i : all) {
            i.after = status(i);
        }
    }

    private static Status status(Instance i) throws IOException {
        if (!i.process.isAlive()) {
            List<String> log = Files.readAllLines(i.folder.resolve("log"));
            throw new IOException("the process of " + ScaleScenario.nameOf(i.index) + " ended by itself: "
                + String.join(" / ", log.subList(Math.max(0, log.size() - LOG_LINES), log.size())));
        }
        Map<?, ?> fleet = ask(i.mgmt);
        TrafficCount count = new TrafficCount();
        Map<?, ?> traffic = (Map<?, ?>) fleet.get("traffic");
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            List<?> figures = (List<?>) traffic.get(kind.name().toLowerCase(Locale.ROOT));
            count.set(kind, figures.stream().mapToLong(f -> ((Double) f).longValue()).toArray());
        }
        return new Status(System.nanoTime(), count, i.process.info().totalCpuDuration().orElse(Duration.ZERO),
            resident(i.process.pid()), fleet);
    }

    private static Map<?, ?> ask(int port) throws IOException {
        try (Socket socket = new Socket(HERE, port)) {
            socket.setSoTimeout(PATIENCE);
            socket.getOutputStream().write("fleet status\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!answer.startsWith("ACK {")) {
                throw new IOException("an instance answered: " + answer);
            }
            return (Map<?, ?>) Json.parse(answer.substring("ACK ".length()).strip());
        }
    }

    /** Memory that the process has in the machine, in megabytes; 0 where the system does not tell. */
    private static double resident(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / MEGABYTE_IN_KILOBYTES;
                }
            }
        } catch (IOException e) {
            // told below
        }
        return 0;
    }

    // ---------------------------------------------------------------- figures

    /** What all real instances sent and received while they were measured. */
    private TrafficCount total() {
        TrafficCount total = new TrafficCount();
        all.forEach(i -> total.add(i.after.traffic.since(i.before.traffic)));
        return total;
    }

    /** Over how many seconds, summed over instances. */
    private double instanceSeconds() {
        return all.stream().mapToDouble(i -> (i.after.nanos - i.before.nanos) / 1e9).sum();
    }

    /** Means over the real instances, and how like them the hollow ones are; empty without any. */
    Map<String, Object> figures(Samples hollow, List<String> failures) {
        if (all.isEmpty()) {
            return Map.of();
        }
        TrafficCount total = total();
        double seconds = instanceSeconds(), cpu = 0, memory = 0, fresh = 0;
        for (Instance i : all) {
            cpu += i.after.cpu.minus(i.before.cpu).toNanos() / 1e9;
            memory += i.after.residentMegabytes / all.size();
            fresh += freshShare(i.after.fleet) / all.size();
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("datagrams_per_second", Percentiles.rounded(total.datagramsOut() / seconds));
        figures.put("bytes_per_second", Percentiles.rounded(total.wireOut() / seconds));
        figures.put("bytes_in_per_second", Percentiles.rounded(total.wireIn() / seconds));
        figures.put("core_share", Percentiles.rounded(cpu / seconds));
        figures.put("resident_mb", Percentiles.rounded(memory));
        figures.put("parts_fresh_share", Percentiles.rounded(fresh));
        figures.put("by_kind", Samples.byKind(total, seconds));
        figures.put("discovery_answers", discovery.answers());
        Map<String, Object> ratios = FidelityCheck.ratios(hollow.total(), hollow.instanceSeconds(), total, seconds);
        figures.put("hollow_by_real", ratios);
        figures.put("likeness_judged", total.datagramsOut() >= FidelityCheck.LEAST_DATAGRAMS);
        FidelityCheck.verify(ratios, total.datagramsOut(), failures);
        return figures;
    }

    private double freshShare(Map<?, ?> fleet) {
        long fresh = ((List<?>) fleet.get("members")).stream()
            .filter(m -> ((Map<?, ?>) m).get("said_ms_ago") instanceof Double age && age < scenario.fades()).count();
        return fresh / (double) scenario.instances();
    }

    /** Adds what does not hold of the processes. */
    void verify(List<String> failures) {
        List<String> crashed = crashed();
        if (!crashed.isEmpty()) {
            failures.add("crash: processes ended by themselves: " + crashed);
        }
        long disagreeing = network.hasCuts() ? 0 : disagreeing(runningAtEnd);
        if (disagreeing > 0) {
            failures.add("agree: " + disagreeing + " processes see others than just the running instances at the end");
        }
    }

    /** How many of the real instances see others than just these as there, by their own word. */
    private long disagreeing(Set<String> running) {
        return all.stream().filter(i -> {
            Set<String> seen = new TreeSet<>();
            for (Object m : (List<?>) i.after.fleet.get("members")) {
                if (Set.of("alive", "suspect").contains(((Map<?, ?>) m).get("state"))) {
                    seen.add((String) ((Map<?, ?>) m).get("name"));
                }
            }
            return !seen.equals(running);
        }).count();
    }

    /** Ends every process and waits until it has ended. */
    @Override public void close() {
        for (Instance i : all) {
            if (i.process != null) {
                i.process.destroyForcibly().onExit().join();
            }
        }
    }
}
