package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.routing.ResolvedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A SIGHUP changes the discovery address while a node starts draining: in the new service's list, in the old service's last
 * response, or while an attempt is connecting. Guards against requests to a draining node and against an old response that
 * overwrites the new list.
 */
@Timeout(20)
class ReloadRaceTest {
    private static final String HEAD_END = "\r\n\r\n";
    private static final String COMMAND_END = "hosts=1\r\n";
    private static final List<String> MODES = List.of("subscribe", "automatic");

    private static String host(String name, ScriptedPeer node, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + node.address().getPort()
            + "\",\"site\":\"a\",\"block\":0,\"health\":\"" + health + "\",\"born_ms\":0}";
    }

    private static void respond(ScriptedPeer.Connection call, int version, boolean whole, String... hosts) throws Exception {
        String list = "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
        call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + HEAD_END + list);
    }

    /** Accepts the next poll of this service and checks its query. */
    private static ScriptedPeer.Connection call(ScriptedPeer service, String expected) throws Exception {
        ScriptedPeer.Connection call = service.accept();
        assertTrue(call.until(HEAD_END).startsWith("GET /catalog/members" + expected));
        return call;
    }

    /** Confirms the initial list, without which no request is sent to its nodes; returns the poll that follows. */
    private static ScriptedPeer.Connection confirmInitialList(ScriptedPeer service) throws Exception {
        respond(call(service, "?index=1&wait="), 1, false);
        return call(service, "?index=1&wait=");
    }

    private static void assertReceives(ScriptedPeer node, String id) throws Exception {
        assertTrue(node.accept().until(COMMAND_END).contains("\r\n" + id + "\r\n"));
    }

    @Test void aDrainInTheNewListAppliesToARequestReadInTheSameIteration() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer next = new ScriptedPeer();
                 ScriptedPeer first = new ScriptedPeer(); ScriptedPeer second = new ScriptedPeer();
                 ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, old.address(), first.address())) {
                call(old, "?index=1&wait=");
                ScriptedPeer.Connection client = clients.connect(harness.address);
                harness.reload(next.address());
                ScriptedPeer.Connection whole = call(next, " HTTP");
                CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
                client.send(ClientRaceTest.get("q"));
                respond(whole, 7, true, host("n0", first, "draining"), host("n9", second, "ready"));
                unblock.countDown();
                assertReceives(second, "q");
                assertNull(first.acceptIfAny(), mode);
            }
        }
    }

    /** The drain is reported while the attempt is connecting; eligibility is checked again before the first byte. */
    @Test void anAttemptWhoseNodeDrainsWhileItConnectsGoesToAnotherNode() throws Exception {
        try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer first = new ScriptedPeer();
             ScriptedPeer second = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(old.address(), first.address())) {
            confirmInitialList(old);
            ScriptedPeer.Connection client = clients.connect(harness.address);
            ServerHarness.runLoopOnce(harness.loop);
            CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
            client.send(ClientRaceTest.get("q"));
            // The next loop iteration reads the command and connects; it ends before the connection is seen as established.
            List<ResolvedEndpoint> list = List.of(member("n0", first.address(), EndpointState.DRAINING),
                member("n9", second.address(), EndpointState.HEALTHY));
            harness.loop.execute(() -> harness.afterNextLoopIteration(() -> harness.updateEndpoints(list)));
            unblock.countDown();
            ScriptedPeer.Connection abandoned = first.accept();
            ScriptedPeer.Connection retry = null;
            for (int passed = 0; retry == null; passed += 10) {
                assertTrue(passed < 500, "an attempt that was not written is retried soon");
                harness.runFor(10);
                retry = second.acceptIfAny();
            }
            assertTrue(retry.until(COMMAND_END).contains("\r\nq\r\n"));
            assertEquals(0, abandoned.socket.getInputStream().available(), "nothing is written to the abandoned connection");
        }
    }

    private static ResolvedEndpoint member(String name, InetSocketAddress at, EndpointState phase) {
        return new ResolvedEndpoint(new Endpoint(name, "a", 0, phase, 0), at);
    }

    @Test void aResponseOfTheOldServiceThatRacesWithTheReloadIsIgnored() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer next = new ScriptedPeer();
                 ScriptedPeer first = new ScriptedPeer(); ScriptedPeer second = new ScriptedPeer();
                 ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, old.address(), first.address())) {
                ScriptedPeer.Connection watch = confirmInitialList(old);
                CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
                respond(watch, 90, true, host("n0", second, "ready"));       // arrives before the reload, read after it
                harness.signalReload(next.address());                              // runs before the loop reads again
                unblock.countDown();
                ScriptedPeer.Connection whole = call(next, " HTTP");
                clients.connect(harness.address).send(ClientRaceTest.get("before"));
                assertReceives(first, "before");
                respond(whole, 7, true, host("n0", first, "draining"), host("n9", second, "ready"));
                call(next, "?index=7&wait=");
                clients.connect(harness.address).send(ClientRaceTest.get("after"));
                assertReceives(second, "after");
                assertNull(first.acceptIfAny(), mode);
            }
        }
    }

    /** A response read before the reload applies until the new list arrives, which is complete and replaces it. */
    @Test void aDrainInTheOldServicesLastResponseAppliesUntilTheNewListArrives() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer next = new ScriptedPeer();
                 ScriptedPeer first = new ScriptedPeer(); ScriptedPeer second = new ScriptedPeer();
                 ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, old.address(), first.address())) {
                ScriptedPeer.Connection watch = call(old, "?index=1&wait=");
                CountDownLatch unblock = ClientRaceTest.blockLoop(harness);
                respond(watch, 2, false, host("n0", first, "draining"), host("n9", second, "ready"));
                harness.loop.execute(() -> harness.afterNextLoopIteration(() -> harness.signalReload(next.address())));
                unblock.countDown();
                ScriptedPeer.Connection whole = call(next, " HTTP");
                clients.connect(harness.address).send(ClientRaceTest.get("between"));
                assertReceives(second, "between");
                assertNull(first.acceptIfAny(), mode);
                respond(whole, 1, true, host("n0", first, "ready"));
                call(next, "?index=1&wait=");
                clients.connect(harness.address).send(ClientRaceTest.get("after"));
                assertReceives(first, "after");
            }
        }
    }
}
