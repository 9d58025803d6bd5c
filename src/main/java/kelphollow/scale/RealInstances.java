package kelphollow.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import kelphollow.protocol.json.Json;

/**
 * The instances of a fleet that run as processes of the program, started as by an operator, without clients. Their traffic
 * is read over their management ports; to them the simulated instances look like any others. Confined to the run's thread,
 * except for {@link #close}, which an interrupted run calls from its shutdown hook.
 */
final class RealInstances implements ScaleRun.ExternalInstances, AutoCloseable {
    private final ScaleScenario scenario;
    private final NetworkModel network;
    private final StubDiscoveryServer discovery;
    private final List<RealInstance> instances = new ArrayList<>();
    private Set<String> runningAtEnd = Set.of();

    RealInstances(ScaleScenario scenario, NetworkModel network, StubDiscoveryServer discovery, Path folder)
        throws IOException {
        this.scenario = scenario;
        this.network = network;
        this.discovery = discovery;
        Path key = folder.resolve("key");
        Files.write(key, SimulatedInstance.KEY);
        ProcessConfig config = new ProcessConfig(scenario, network, discovery.port());
        for (int i = scenario.simulated(); i < scenario.instances(); i++) {
            Path own = Files.createDirectories(folder.resolve(ScaleScenario.nameOf(i)));
            RealInstance instance = new RealInstance(i, own, ProcessConfig.freePort());
            Files.writeString(instance.configFile(), Json.write(config.configOf(instance, key)));
            instances.add(instance);
        }
    }

    // ---------------------------------------------------------------- processes

    void start() throws IOException {
        for (RealInstance instance : instances) {
            instance.start();
        }
    }

    boolean isProcess(int index) {
        return index >= scenario.simulated();
    }

    /** Returns the names of processes that exited by themselves. */
    List<String> crashed() {
        return instances.stream().filter(RealInstance::hasEnded).map(RealInstance::name).toList();
    }

    @Override public Set<String> names() {
        return instances.stream().map(RealInstance::name).collect(Collectors.toSet());
    }

    @Override public void begin() throws IOException {
        for (RealInstance instance : instances) {
            instance.begin();
        }
    }

    @Override public void end(Set<String> running) throws IOException {
        runningAtEnd = running;
        for (RealInstance instance : instances) {
            instance.end();
        }
    }

    // ---------------------------------------------------------------- figures

    /** Returns what all real instances together sent and received during the measurement. */
    private TrafficCount total() {
        TrafficCount total = new TrafficCount();
        instances.forEach(instance -> total.add(instance.traffic()));
        return total;
    }

    /** Returns the measured seconds, summed over instances. */
    private double instanceSeconds() {
        return instances.stream().mapToDouble(RealInstance::seconds).sum();
    }

    /** Returns means over the real instances and the simulated ones' ratio to them; empty if there are no real instances. */
    Map<String, Object> figures(Samples simulated, List<String> failures) {
        if (instances.isEmpty()) {
            return Map.of();
        }
        TrafficCount total = total();
        double seconds = instanceSeconds();
        double cpu = 0;
        double memory = 0;
        double fresh = 0;
        for (RealInstance instance : instances) {
            cpu += instance.processorSeconds();
            memory += instance.residentMegabytes() / instances.size();
            fresh += freshShare(instance.fleet()) / instances.size();
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
            .filter(member -> ((Map<?, ?>) member).get("said_ms_ago") instanceof Double age
                && age < scenario.timeToLive()).count();
        return fresh / (double) scenario.instances();
    }

    /** Adds a failure for processes that exited and one for processes with a wrong view of the fleet. */
    void verify(List<String> failures) {
        List<String> crashed = crashed();
        if (!crashed.isEmpty()) {
            failures.add("crash: processes exited unexpectedly: " + crashed);
        }
        long disagreeing = network.hasPartitions() ? 0 : disagreeing(runningAtEnd);
        if (disagreeing > 0) {
            failures.add("agree: " + disagreeing + " processes do not list exactly the running instances at the end");
        }
    }

    /** Counts the real instances whose present members (alive or suspect) differ from {@code running}. */
    private long disagreeing(Set<String> running) {
        return instances.stream().filter(instance -> {
            Set<String> present = new TreeSet<>();
            for (Object member : (List<?>) instance.fleet().get("members")) {
                if (Set.of("alive", "suspect").contains(((Map<?, ?>) member).get("state"))) {
                    present.add((String) ((Map<?, ?>) member).get("name"));
                }
            }
            return !present.equals(running);
        }).count();
    }

    /** Kills every process and waits for its exit. */
    @Override public void close() {
        for (RealInstance instance : instances) {
            instance.close();
        }
    }
}
