package kelphollow.program;

import static kelphollow.program.FakeDiscovery.CLOSE;
import static kelphollow.program.FakeDiscovery.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import kelphollow.routing.EndpointUpdateBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the node list is had in its two modes, and what is made of an agent or a service that fails. */
@Timeout(20)
class ListTest {
    /** The next call; a wait, which is drawn, is checked against its bounds and left out. */
    private static String next(FakeDiscovery of) throws InterruptedException {
        return within(of.asked.poll(10, TimeUnit.SECONDS));
    }

    private static String within(String call) {
        if (call == null || !call.contains("&wait=")) {
            return call;
        }
        int wait = Integer.parseInt(call.replaceAll(".*&wait=", ""));
        assertTrue(wait == 1 || wait <= EndpointUpdateBudget.WAIT && wait >= EndpointUpdateBudget.WAIT / 2, call);
        return call.replaceAll("&wait=.*", wait == 1 ? "&now" : "&wait");
    }

    @Test void aPushedListIsWatchedFromTheStartAndAnAskedOneToo() throws Exception {
        for (String mode : List.of("automatic", "subscribe")) {
            try (FakeDiscovery discovery = new FakeDiscovery(); ServerHarness harness = ServerHarness.respWith(mode,
                discovery.address())) {
                assertEquals("/catalog/members?index=1&now", next(discovery), mode);
                discovery.answers.add(list(4, false));
                assertEquals("/catalog/members?index=4&wait", next(discovery), mode);
                assertTrue(discovery.asked.isEmpty(), "one call at a time");
            }
        }
    }

    @Test void anAgentThatIsSilentOrEndsItsConnectionIsAskedAgainWithoutTheModule() throws Exception {
        try (FakeDiscovery agent = new FakeDiscovery(); ServerHarness harness = ServerHarness.respWith("automatic", agent
            .address())) {
            next(agent);
            harness.ticker.advance(2_600);                      // its wait, the patience and the first pause
            assertEquals("/catalog/members?index=1&now", next(agent), "silent from the start: the next call begins a watch");
            agent.answers.add(CLOSE);                         // to the call that was given up
            agent.answers.add(CLOSE);
            harness.ticker.advance(5_000);                      // whenever the close is noticed, the pause is over by then
            String again = null;
            for (int i = 0; i < 100 && again == null; i++) {
                harness.ticker.advance(100);
                again = within(agent.asked.poll(50, TimeUnit.MILLISECONDS));
            }
            assertEquals("/catalog/members?index=1&now", again, "after its connection ended");
        }
    }

    @Test void aNewAgentIsAskedForTheWholeListAtOnceAndAgainWhileItSaysNothing() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery(); FakeDiscovery agent = new FakeDiscovery();
             ServerHarness harness = ServerHarness.respWith("automatic", old.address())) {
            next(old);
            harness.reload(agent.address());
            assertEquals("/catalog/members", next(agent), "versions of the old one mean nothing");
            harness.ticker.advance(2_200);
            assertEquals("/catalog/members", next(agent), "its news counts as told after 4 s");
            harness.ticker.advance(5_000);
            assertTrue(old.asked.isEmpty());
        }
    }

    @Test void anOlderVersionIsNoNewsUnlessTheWholeListSaysItTwice() throws Exception {
        try (FakeDiscovery agent = new FakeDiscovery(); ServerHarness harness = ServerHarness.respWith("automatic", agent
            .address())) {
            next(agent);
            agent.answers.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait", next(agent));
            for (String older : List.of(list(40, false), list(7, true))) {
                agent.answers.add(older);
                assertEquals("/catalog/members", nextAfterAPause(agent, harness), older);
            }
            agent.answers.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait", next(agent), "the list that was held stands");
            for (int i = 0; i < 2; i++) {
                agent.answers.add(list(7, true));
                assertEquals("/catalog/members", nextAfterAPause(agent, harness));
            }
            agent.answers.add(list(8, true));
            assertEquals("/catalog/members?index=8&wait", next(agent), "the service counts anew");
        }
    }

    private static String nextAfterAPause(FakeDiscovery agent, ServerHarness harness) throws InterruptedException {
        String call = null;
        for (int i = 0; i < 100 && call == null; i++) {
            harness.ticker.advance(20);
            call = within(agent.asked.poll(20, TimeUnit.MILLISECONDS));
        }
        return call;
    }

    /**
     * The platform's terms go before all else: a change counts as notified 6 s after the service had it and could be
     * reached.
     */
    @Test void theTimesOfAllCallsTogetherStayUnderWhatCountsAsTold() throws Exception {
        for (String mode : List.of("automatic", "subscribe")) {
            double longest = EndpointUpdateBudget.longest(mode.equals("automatic"));
            assertTrue(longest < EndpointUpdateBudget.TOLD_AFTER, mode + ": " + longest);
            try (ScriptedPeer discovery = new ScriptedPeer(); ServerHarness harness = ServerHarness.respWith(mode, discovery
                .address())) {
                discovery.accept();
                for (int fault = 0; fault < 5; fault++) {     // each call meets with silence
                    int passed = 0;
                    while (discovery.acceptIfAny() == null) {
                        assertTrue(passed < longest - EndpointUpdateBudget.TURN, mode + ", silence " + fault + ": " + passed
                            + " ms");
                        harness.ticker.advance(20);
                        passed += 20;
                    }
                }
            }
        }
    }
}
