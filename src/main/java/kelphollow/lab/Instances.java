package kelphollow.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** All instances of a run and their network. Only the thread that runs the scenario may use it, except {@link #close}. */
final class Instances implements AutoCloseable {
    private static final int STARVATION_THREADS = 4;

    private final History history;
    private final Network network;
    private final Map<String, InstanceProcess> instances = new LinkedHashMap<>();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(STARVATION_THREADS);

    Instances(Scenario scenario, History history, int controlPlanePort, Path folder, long seed)
        throws IOException, InterruptedException {
        this.history = history;
        Random random = new Random(seed);
        this.network = new Network(history, random);
        Ports ports = new Ports();
        for (int i = 0; i < scenario.instances(); i++) {
            String name = "i" + i;
            instances.put(name, new InstanceProcess(name, folder.resolve(name), history, ports));
        }
        Path key = folder.resolve("key");
        Files.writeString(key, "the key of one run " + Long.toHexString(random.nextLong()));
        InstanceConfig config = new InstanceConfig(scenario, controlPlanePort, key);
        for (InstanceProcess instance : instances.values()) {
            Map<String, Object> peers = new TreeMap<>();
            for (InstanceProcess peer : instances.values()) {
                if (instance != peer) {
                    int port = network.open(instance.name(), peer.name(), peer.peerPort());
                    peers.put(peer.name(), "127.0.0.1:" + port);
                }
            }
            instance.configure(config.build(instance, peers));
        }
    }

    Network network() {
        return network;
    }

    List<String> names() {
        return List.copyOf(instances.keySet());
    }

    InstanceProcess get(String name) {
        return instances.get(name);
    }

    /** Takes most processor time from an instance. */
    void starve(String name) {
        instances.get(name).starve(scheduler);
    }

    /** Copies new events of all instances into the history, and records crashes. */
    void collectEvents() throws IOException {
        for (InstanceProcess instance : instances.values()) {
            instance.collectEvents();
        }
    }

    /**
     * Whether each running instance sees exactly the running ones as alive; with {@code record}, adds each one's view to the
     * history.
     */
    boolean allAgree(boolean record) {
        List<String> running = instances.values().stream().filter(instance -> instance.state() == InstanceProcess.State.UP)
            .map(InstanceProcess::name).toList();
        boolean agree = true;
        for (String name : running) {
            Map<?, ?> status = instances.get(name).fleetStatus();
            SortedSet<String> alive = alive(status);
            agree &= alive.equals(new TreeSet<>(running));
            if (record) {
                recordView(instances.get(name), status, alive, running);
            }
        }
        return agree;
    }

    private static SortedSet<String> alive(Map<?, ?> status) {
        SortedSet<String> alive = new TreeSet<>();
        if (status != null) {
            for (Object member : (List<?>) status.get("members")) {
                if ("alive".equals(((Map<?, ?>) member).get("state"))) {
                    alive.add((String) ((Map<?, ?>) member).get("name"));
                }
            }
        }
        return alive;
    }

    private void recordView(InstanceProcess instance, Map<?, ?> status, SortedSet<String> alive, List<String> running) {
        history.add(instance.name(), "view", "alive", alive, "running", running,
            "bytes", status == null ? 0 : status.get("bytes_sent"),
            "datagrams", status == null ? 0 : status.get("datagrams_sent"),
            "dropped", status == null ? Map.of() : status.get("dropped"),
            "cpu_ms", instance.processorTime(), "up_ms", instance.upTime());
    }

    /** Kills every process in any state and waits for its exit. */
    @Override public void close() {
        scheduler.shutdownNow();
        instances.values().forEach(InstanceProcess::destroy);
        network.close();
    }
}
