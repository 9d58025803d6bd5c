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

/** All instances of a run, and the network between them. For the thread that plays the scenario, but for {@link #close}. */
final class Instances implements AutoCloseable {
    private static final int STARVING_THREADS = 4;

    private final History history;
    private final Network network;
    private final Map<String, InstanceProcess> all = new LinkedHashMap<>();
    private final ScheduledExecutorService turns = Executors.newScheduledThreadPool(STARVING_THREADS);

    Instances(Scenario scenario, History history, int controlPlanePort, Path folder, long seed)
        throws IOException, InterruptedException {
        this.history = history;
        Random random = new Random(seed);
        this.network = new Network(history, random);
        Ports ports = new Ports();
        for (int i = 0; i < scenario.instances(); i++) {
            String name = "i" + i;
            all.put(name, new InstanceProcess(name, folder.resolve(name), history, ports));
        }
        Path key = folder.resolve("key");
        Files.writeString(key, "the key of one run " + Long.toHexString(random.nextLong()));
        InstanceConfig config = new InstanceConfig(scenario, controlPlanePort, key);
        for (InstanceProcess instance : all.values()) {
            Map<String, Object> peers = new TreeMap<>();
            for (InstanceProcess peer : all.values()) {
                if (instance != peer) {
                    int port = network.open(instance.name(), peer.name(), peer.peerPort());
                    peers.put(peer.name(), "127.0.0.1:" + port);
                }
            }
            instance.configure(config.of(instance, peers));
        }
    }

    Network network() {
        return network;
    }

    List<String> names() {
        return List.copyOf(all.keySet());
    }

    InstanceProcess get(String name) {
        return all.get(name);
    }

    /** Takes most of the processor away from an instance. */
    void starve(String name) {
        all.get(name).starve(turns);
    }

    /** Takes what is new of all instances into the history. */
    void observe() throws IOException {
        for (InstanceProcess instance : all.values()) {
            instance.observe();
        }
    }

    /** Whether each running instance sees just the running ones as alive; if so wished the history says what each sees. */
    boolean agree(boolean note) {
        List<String> running = all.values().stream().filter(instance -> instance.state() == InstanceProcess.State.UP)
            .map(InstanceProcess::name).toList();
        boolean agree = true;
        for (String name : running) {
            Map<?, ?> status = all.get(name).fleetStatus();
            SortedSet<String> alive = alive(status);
            agree &= alive.equals(new TreeSet<>(running));
            if (note) {
                note(all.get(name), status, alive, running);
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

    private void note(InstanceProcess instance, Map<?, ?> status, SortedSet<String> alive, List<String> running) {
        history.add(instance.name(), "view", "alive", alive, "running", running,
            "bytes", status == null ? 0 : status.get("bytes_sent"),
            "datagrams", status == null ? 0 : status.get("datagrams_sent"),
            "dropped", status == null ? Map.of() : status.get("dropped"),
            "cpu_ms", instance.processorTime(), "up_ms", instance.upTime());
    }

    /** Ends every process, whatever its state, and waits until it has ended. */
    @Override public void close() {
        turns.shutdownNow();
        all.values().forEach(InstanceProcess::destroy);
        network.close();
    }
}
