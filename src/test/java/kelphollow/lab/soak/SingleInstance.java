package kelphollow.lab.soak;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import kelphollow.lab.soak.SoakDiscovery.Health;
import kelphollow.lab.soak.SoakDiscovery.ListedNode;

/** One instance of the program as a real process, with its nodes and its discovery service. */
final class SingleInstance implements AutoCloseable {
    private static final int POLL_MS = 20;
    private static final int WARMUP_WAIT_MS = 1_000;
    private static final int WARMUP_REQUESTS = 20;

    final SoakHistory history = new SoakHistory();
    private final SoakDiscovery discovery;
    private final List<SoakNode> nodes = new ArrayList<>();
    private final ServeProcess process;
    private final long seed;

    private SingleInstance(Path folder, int nodeCount, long seed, InheritedSocket socket) throws Exception {
        this.seed = seed;
        this.discovery = new SoakDiscovery(history, new Random(seed));
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new SoakNode("s-" + i, i, history, new Random(seed + i)));
        }
        discovery.change(nodes.stream().map(node -> ListedNode.of(node, Health.READY, 0)).toList());
        process = new ServeProcess(folder, 0, ServeProcess.settings(1, false), history, socket);
        configure();
        process.start();
        process.awaitReady();
        awaitServing();
    }

    /** Waits until the process has its list of nodes and its nodes' latencies: each has served some requests in a row. */
    private void awaitServing() throws Exception {
        int sent = 0;
        try (RespClient client = new RespClient(address())) {
            for (int served = 0; served < WARMUP_REQUESTS;) {
                Thread.sleep(POLL_MS);
                int cell = sent % nodes.size();
                client.send(RespClient.get("warmup-" + sent++, "dump-read", WARMUP_WAIT_MS, cell));
                served = client.answer().equals("ok") ? served + 1 : 0;
            }
        }
    }

    /** Starts an instance whose process listens by itself. */
    static SingleInstance start(Path folder, int nodes, long seed) throws Exception {
        return new SingleInstance(folder, nodes, seed, null);
    }

    /** Starts an instance that can be {@link #upgrade upgraded}. */
    static SingleInstance startUpgradable(Path folder, int nodes, long seed) throws Exception {
        return new SingleInstance(folder, nodes, seed, new InheritedSocket());
    }

    private void configure() throws Exception {
        process.configure(discovery.addressFor(0), discovery.lastListOf(0), seed);
    }

    ServeProcess process() {
        return process;
    }

    InetSocketAddress address() {
        return process.address();
    }

    SoakNode node(int cell) {
        return nodes.get(cell);
    }

    /** Starts the next process and waits until it reports that it is ready. */
    void startSuccessor() throws Exception {
        configure();
        process.startSuccessor();
        while (!process.reportsReady()) {
            Thread.sleep(POLL_MS);
        }
        history.add(new SoakHistory.Upgrade(0, process.startedAt(), history.now()));
    }

    /** Replaces the process by the next one and waits until the old one has exited. */
    void upgrade() throws Exception {
        startSuccessor();
        process.terminatePredecessor();
        while (!process.hasPredecessorExited()) {
            Thread.sleep(POLL_MS);
        }
    }

    @Override public void close() throws Exception {
        process.close();
        discovery.close();
        for (SoakNode node : nodes) {
            node.close();
        }
    }
}
