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

/** The watch of the endpoint list in both discovery modes, and its behaviour when an agent or the service fails. */
@Timeout(20)
class DiscoveryWatchTest {
    private static final List<String> MODES = List.of("automatic", "subscribe");
    private static final int STEP_MS = 20;

    /** Returns the next poll without its wait value, which is random and is only checked against its bounds. */
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

    /** Advances the clock in steps of {@code step} ms until the next poll arrives; null if none does within 100 steps. */
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

    @Test void anAgentThatStallsOrClosesItsConnectionIsPolledAgainWithoutTheDecisionModule() throws Exception {
        try (FakeDiscovery agent = new FakeDiscovery();
             ServerHarness server = ServerHarness.respWith("automatic", agent.address())) {
            nextPoll(agent);
            server.ticker.advance(2_600);                     // the poll's wait, the margin and the first retry delay
            assertEquals("/catalog/members?index=1&now", nextPoll(agent),
                "a watch that never got a response begins again");

            agent.responses.add(CLOSE);                         // for the poll that timed out
            agent.responses.add(CLOSE);
            server.ticker.advance(5_000);                     // longer than the retry delay, whenever the close is detected

            assertEquals("/catalog/members?index=1&now", nextPollInSteps(agent, server, 100, 50),
                "after its connection ended");
        }
    }

    @Test void aNewAgentIsPolledForTheCompleteListAtOnceAndAgainWhileItIsSilent() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery();
             FakeDiscovery agent = new FakeDiscovery();
             ServerHarness server = ServerHarness.respWith("automatic", old.address())) {
            nextPoll(old);

            server.reload(agent.address());
            assertEquals("/catalog/members", nextPoll(agent), "versions of the old agent do not apply to the new one");
            server.ticker.advance(2_200);
            assertEquals("/catalog/members", nextPoll(agent), "changes reported by a new agent count as notified after 4 s");
            server.ticker.advance(5_000);

            assertTrue(old.requests.isEmpty());
        }
    }

    @Test void anOlderVersionIsIgnoredUnlessTwoCompleteListsConfirmIt() throws Exception {
        try (FakeDiscovery agent = new FakeDiscovery();
             ServerHarness server = ServerHarness.respWith("automatic", agent.address())) {
            nextPoll(agent);
            agent.responses.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait", nextPoll(agent));

            for (String older : List.of(list(40, false), list(7, true))) {
                agent.responses.add(older);
                assertEquals("/catalog/members", nextPollInSteps(agent, server, STEP_MS, 20), older);
            }
            agent.responses.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait", nextPoll(agent), "the current list is kept");

            for (int i = 0; i < 2; i++) {
                agent.responses.add(list(7, true));
                assertEquals("/catalog/members", nextPollInSteps(agent, server, STEP_MS, 20));
            }
            agent.responses.add(list(8, true));
            assertEquals("/catalog/members?index=8&wait", nextPoll(agent), "the service has restarted its version numbers");
        }
    }

    /**
     * The platform counts a change as notified 6 s after the service had it and could be reached. The worst-case time to
     * detect a silent poll and poll again must stay below that.
     */
    @Test void theWorstCasePollDelayStaysBelowTheNotificationDeadline() throws Exception {
        for (String mode : MODES) {
            double longest = EndpointUpdateBudget.longestDelay(mode.equals("automatic"));
            assertTrue(longest < EndpointUpdateBudget.NOTIFIED_AFTER_MS, mode + ": " + longest);

            try (ScriptedPeer discovery = new ScriptedPeer();
                 ServerHarness server = ServerHarness.respWith(mode, discovery.address())) {
                discovery.accept();
                for (int fault = 0; fault < 5; fault++) {     // no poll gets a response
                    int passed = 0;
                    while (discovery.acceptIfAny() == null) {
                        assertTrue(passed < longest - EndpointUpdateBudget.QUEUE_WAIT_MS,
                            mode + ", unanswered poll " + fault + ": " + passed + " ms");
                        server.ticker.advance(STEP_MS);
                        passed += STEP_MS;
                    }
                }
            }
        }
    }
}
