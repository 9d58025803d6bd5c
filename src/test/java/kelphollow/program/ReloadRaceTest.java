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
 * A SIGHUP that moves discovery while nodes drain: in the new service's list, in the old one's last words, and while a
 * request is being dialled. Guards against a request to a node that drains, and against the old service undoing the new
 * list.
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

    /** The next call to this service, and where it goes. */
    private static ScriptedPeer.Connection call(ScriptedPeer service, String expected) throws Exception {
        ScriptedPeer.Connection call = service.accept();
        assertTrue(call.until(HEAD_END).startsWith("GET /catalog/members" + expected));
        return call;
    }

    /** The service says that the list of the start still holds, or nothing is sent by it; the watch that follows. */
    private static ScriptedPeer.Connection confirmInitialList(ScriptedPeer service) throws Exception {
        respond(call(service, "?index=1&wait="), 1, false);
        return call(service, "?index=1&wait=");
    }

    private static void assertReceives(ScriptedPeer node, String id) throws Exception {
        assertTrue(node.accept().until(COMMAND_END).contains("\r\n" + id + "\r\n"));
    }

    @Test void aDrainInTheNewListBindsARequestThatComesWithIt() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer next = new ScriptedPeer();
                 ScriptedPeer first = new ScriptedPeer(); ScriptedPeer second = new ScriptedPeer();
                 ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, old.address(), first.address())) {
                call(old, "?index=1&wait=");
                ScriptedPeer.Connection client = clients.connect(harness.address);
                harness.reload(next.address());
                ScriptedPeer.Connection whole = call(next, " HTTP");
                CountDownLatch go = ClientRaceTest.blockLoop(harness);
                client.send(ClientRaceTest.get("q"));
                respond(whole, 7, true, host("n0", first, "draining"), host("n9", second, "ready"));
                go.countDown();
                assertReceives(second, "q");
                assertNull(first.acceptIfAny(), mode);
            }
        }
    }

    /** The drain comes between the dial and the connection's coming up; the first byte is looked at again. */
    @Test void aRequestThatIsBeingDialledWhenItsDrainIsReportedGoesElsewhere() throws Exception {
        try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer first = new ScriptedPeer();
             ScriptedPeer second = new ScriptedPeer(); ScriptedPeer clients = new ScriptedPeer();
             ServerHarness harness = ServerHarness.resp(old.address(), first.address())) {
            confirmInitialList(old);
            ScriptedPeer.Connection client = clients.connect(harness.address);
            ServerHarness.runLoopOnce(harness.loop);
            CountDownLatch go = ClientRaceTest.blockLoop(harness);
            client.send(ClientRaceTest.get("q"));
            // The turn after this one reads the command and dials; its end comes before the connection can be seen to be up.
            List<ResolvedEndpoint> list = List.of(member("n0", first.address(), EndpointState.DRAINING),
                member("n9", second.address(), EndpointState.HEALTHY));
            harness.loop.execute(() -> harness.afterNextLoopIteration(() -> harness.updateEndpoints(list)));
            go.countDown();
            ScriptedPeer.Connection dialled = first.accept();
            ScriptedPeer.Connection elsewhere = null;
            for (int passed = 0; elsewhere == null; passed += 10) {
                assertTrue(passed < 500, "an attempt that was not written is made again soon");
                harness.runFor(10);
                elsewhere = second.acceptIfAny();
            }
            assertTrue(elsewhere.until(COMMAND_END).contains("\r\nq\r\n"));
            assertEquals(0, dialled.socket.getInputStream().available(), "it came up and was told nothing");
        }
    }

    private static ResolvedEndpoint member(String name, InetSocketAddress at, EndpointState phase) {
        return new ResolvedEndpoint(new Endpoint(name, "a", 0, phase, 0), at);
    }

    @Test void anAnswerOfTheOldServiceThatCrossesTheReloadIsNotRead() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer next = new ScriptedPeer();
                 ScriptedPeer first = new ScriptedPeer(); ScriptedPeer second = new ScriptedPeer();
                 ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, old.address(), first.address())) {
                ScriptedPeer.Connection watch = confirmInitialList(old);
                CountDownLatch go = ClientRaceTest.blockLoop(harness);
                respond(watch, 90, true, host("n0", second, "ready"));       // there before the reload, read after it
                harness.signalReload(next.address());                              // runs before the loop reads again
                go.countDown();
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

    /** What was read before the reload binds until the new list says otherwise; that one is whole and stands alone. */
    @Test void aDrainInTheOldServicesLastResponseBindsUntilTheNewListComes() throws Exception {
        for (String mode : MODES) {
            try (ScriptedPeer old = new ScriptedPeer(); ScriptedPeer next = new ScriptedPeer();
                 ScriptedPeer first = new ScriptedPeer(); ScriptedPeer second = new ScriptedPeer();
                 ScriptedPeer clients = new ScriptedPeer();
                 ServerHarness harness = ServerHarness.respWith(mode, old.address(), first.address())) {
                ScriptedPeer.Connection watch = call(old, "?index=1&wait=");
                CountDownLatch go = ClientRaceTest.blockLoop(harness);
                respond(watch, 2, false, host("n0", first, "draining"), host("n9", second, "ready"));
                harness.loop.execute(() -> harness.afterNextLoopIteration(() -> harness.signalReload(next.address())));
                go.countDown();
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
