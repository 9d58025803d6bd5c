package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import kelphollow.lab.soak.SoakDiscovery.Health;
import kelphollow.lab.soak.SoakDiscovery.ListedNode;
import kelphollow.lab.soak.SoakHistory.AttemptArrived;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a volume passing its limit because both processes of an upgrade spend the same tokens. */
@Timeout(120)
class UpgradeLimitTest {
    private static final int NODES = 6;
    private static final int CLIENTS = 40;
    private static final long SEED = 57;
    /** Time of load before and after the upgrades, in which the limit's burst is spent. */
    private static final int LOAD_MS = 3_000;
    private static final int PRINTED_BREACHES = 5;
    private static final int POLL_MS = 20;
    @TempDir
    Path folder;
    private final SoakHistory history = new SoakHistory();
    private final SoakDiscovery discovery = new SoakDiscovery(history, new Random(SEED));
    private final List<SoakNode> nodes = new ArrayList<>();
    private ServeProcess instance;
    private SoakClients clients;

    @BeforeEach void startUnderLoad() throws Exception {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SoakNode("s-" + i, i, history, new Random(SEED + i)));
        }
        discovery.change(nodes.stream().map(node -> ListedNode.of(node, Health.READY, 0)).toList());
        instance = new ServeProcess(folder, 0, ServeProcess.settings(1, false), history, new InheritedSocket());
        configure();
        instance.start();
        instance.awaitReady();
        clients = new SoakClients(history, NODES, 1);
        clients.start(0, instance.address(), CLIENTS, SEED);
        Thread.sleep(LOAD_MS);
    }

    @AfterEach void close() throws Exception {
        instance.close();
        discovery.close();
        for (SoakNode node : nodes) {
            node.close();
        }
    }

    private void configure() throws Exception {
        instance.configure(discovery.addressFor(0), discovery.lastListOf(0), SEED);
    }

    private void upgrade() throws Exception {
        configure();
        instance.startSuccessor();
        while (!instance.reportsReady()) {
            Thread.sleep(POLL_MS);
        }
        history.add(new SoakHistory.Upgrade(0, instance.startedAt(), history.now()));
        instance.terminatePredecessor();
        while (!instance.hasPredecessorExited()) {
            Thread.sleep(POLL_MS);
        }
    }

    private List<SoakChecker.Breach> breachesAfterLoad() throws Exception {
        Thread.sleep(LOAD_MS);
        clients.close();
        assertTrue(history.all(AttemptArrived.class).size() > CLIENTS, "the load must reach the nodes");
        return SoakChecker.check(history.snapshot(), 0).stream().filter(breach -> breach.rule().equals("limit"))
            .limit(PRINTED_BREACHES).toList();
    }

    @Test void aChainOfUpgradesKeepsOneLimit() throws Exception {
        upgrade();
        upgrade();

        assertEquals(List.of(), breachesAfterLoad());
    }

    @Test void aProcessKilledBeforeItsHandoverLeavesNoTokensTwice() throws Exception {
        configure();
        instance.startSuccessor();
        while (!instance.reportsReady()) {
            Thread.sleep(POLL_MS);
        }
        instance.signalPredecessor("KILL");

        assertEquals(List.of(), breachesAfterLoad());
    }
}
