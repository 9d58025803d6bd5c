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

/** How the endpoint list is watched in its two modes, and what follows when an agent or a service fails. */
@Timeout(20)
class DiscoveryWatchTest {
    private static final List<String> MODES = List.of("automatic", "subscribe");
    private static final int STEP = 20;

    /** The next poll; a wait, which is drawn, is checked against its bounds and left out. */
    private static String nextPoll(FakeDiscovery discovery) throws InterruptedException {
        return withoutWait(discovery.requests.poll(10, TimeUnit.SECONDS));
    }

    private static String withoutWait(String poll) {
        if (poll == null || !poll.contains("&wait=")) {
            return poll;
        }
        int wait = Integer.parseInt(poll.replaceAll(".*&wait=", ""));
        assertTrue(wait == 1 || wait <= EndpointUpdateBudget.LONG_POLL_WAIT_MS && wait
            >= EndpointUpdateBudget.LONG_POLL_WAIT_MS
                / 2,
            poll);
        return poll.replaceAll("&wait=.*", wait == 1 ? "&now" : "&wait");
    }

    /** The next poll, for which the clock moves in steps of so many milliseconds; null if there is none in 100 steps. */
    private static String nextPollInSteps(FakeDiscovery discovery, ServerHarness server, int step, int guardMillis)
        throws InterruptedException {
        String poll = null;
        for (int i = 0; i < 100 && poll == null; i++) {
            server.ticker.advance(step);
            poll = withoutWait(discovery.requests.poll(guardMillis, TimeUnit.MILLISECONDS));
        }
        return poll;
    }

    @Test void aListIsWatchedFromTheStartInEitherMode() throws Exception {
        for (String mode : MODES) {
            try (FakeDiscovery discovery = new FakeDiscovery();
                 ServerHarness server = ServerHarness.respWith(mode, discovery.address())) {
                assertEquals("/catalog/members?index=1&now", nextPoll(discovery), mode);

                discovery.responses.add(list(4, false));

                assertEquals("/catalog/members?index=4&wait", nextPoll(discovery), mode);
                assertTrue(discovery.requests.isEmpty(), "one poll at a time");
            }
        }
    }

    @Test void anAgentThatStallsOrEndsItsConnectionIsPolledAgainWithoutTheModule() throws Exception {
        try (FakeDiscovery agent = new FakeDiscovery();
             ServerHarness server = ServerHarness.respWith("automatic", agent.address())) {
            nextPoll(agent);
            server.ticker.advance(2_600);                     // its wait, the margin and the first delay
            assertEquals("/catalog/members?index=1&now", nextPoll(agent),
                "silent from the start: the next one begins a watch");

            agent.responses.add(CLOSE);                         // to the poll that timed out
            agent.responses.add(CLOSE);
            server.ticker.advance(5_000);                     // whenever the close is noticed, the delay is over by then

            assertEquals("/catalog/members?index=1&now", nextPollInSteps(agent, server, 100, 50),
                "after its connection ended");
        }
    }

    @Test void aNewAgentIsAskedForTheCompleteListAtOnceAndAgainWhileItIsSilent() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery();
             FakeDiscovery agent = new FakeDiscovery();
             ServerHarness server = ServerHarness.respWith("automatic", old.address())) {
            nextPoll(old);

            server.reload(agent.address());
            assertEquals("/catalog/members", nextPoll(agent), "versions of the old one mean nothing");
            server.ticker.advance(2_200);
            assertEquals("/catalog/members", nextPoll(agent), "its changes count as notified after 4 s");
            server.ticker.advance(5_000);

            assertTrue(old.requests.isEmpty());
        }
    }

    @Test void anOlderVersionIsDroppedUnlessTheCompleteListHasItTwice() throws Exception {
        try (FakeDiscovery agent = new FakeDiscovery();
             ServerHarness server = ServerHarness.respWith("automatic", agent.address())) {
            nextPoll(agent);
            agent.responses.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait", nextPoll(agent));

            for (String older : List.of(list(40, false), list(7, true))) {
                agent.responses.add(older);
                assertEquals("/catalog/members", nextPollInSteps(agent, server, STEP, 20), older);
            }
            agent.responses.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait", nextPoll(agent), "the list that was held stands");

            for (int i = 0; i < 2; i++) {
                agent.responses.add(list(7, true));
                assertEquals("/catalog/members", nextPollInSteps(agent, server, STEP, 20));
            }
            agent.responses.add(list(8, true));
            assertEquals("/catalog/members?index=8&wait", nextPoll(agent), "the service counts anew");
        }
    }

    /**
     * The platform's terms go before all else: a change counts as notified 6 s after the service had it and could be
     * reached.
     */
    @Test void theTimesOfAllPollsTogetherStayUnderWhatCountsAsNotified() throws Exception {
        for (String mode : MODES) {
            double longest = EndpointUpdateBudget.longestDelay(mode.equals("automatic"));
            assertTrue(longest < EndpointUpdateBudget.NOTIFIED_AFTER_MS, mode + ": " + longest);

            try (ScriptedPeer discovery = new ScriptedPeer();
                 ServerHarness server = ServerHarness.respWith(mode, discovery.address())) {
                discovery.accept();
                for (int fault = 0; fault < 5; fault++) {     // each poll meets with silence
                    int passed = 0;
                    while (discovery.acceptIfAny() == null) {
                        assertTrue(passed < longest - EndpointUpdateBudget.QUEUE_WAIT_MS,
                            mode + ", silence " + fault + ": " + passed + " ms");
                        server.ticker.advance(STEP);
                        passed += STEP;
                    }
                }
            }
        }
    }
}
