package kelphollow.program;

import static kelphollow.program.StandInDiscovery.CLOSE;
import static kelphollow.program.StandInDiscovery.list;
import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the node list is had in its two modes, and what is made of an agent or a service that fails. */
@Timeout(20)
class ListTest {
    private static String next(StandInDiscovery of) throws InterruptedException {
        return of.asked.poll(10, TimeUnit.SECONDS);
    }

    @Test void aPushedListIsWatchedFromTheStartAndAnAskedOneToo() throws Exception {
        for (String mode : List.of("automatic", "subscribe")) {
            try (StandInDiscovery discovery = new StandInDiscovery(); Bench bench = Bench.respWith(mode, discovery.address())) {
                String wait = mode.equals("automatic") ? "&wait=2000" : "&wait=20000";
                assertEquals("/catalog/members?index=1" + wait, next(discovery), mode);
                discovery.answers.add(list(4, false));
                assertEquals("/catalog/members?index=4" + wait, next(discovery), mode);
                assertTrue(discovery.asked.isEmpty(), "one call at a time");
            }
        }
    }

    @Test void anAgentThatIsSilentOrEndsItsConnectionIsAskedAgainWithoutTheModule() throws Exception {
        try (StandInDiscovery agent = new StandInDiscovery(); Bench bench = Bench.respWith("automatic", agent.address())) {
            next(agent);
            bench.ticker.advance(3_700);                      // its wait, the patience and the first pause
            assertEquals("/catalog/members?index=1&wait=2000", next(agent), "silent from the start");
            agent.answers.add(CLOSE);                         // to the call that was given up
            agent.answers.add(CLOSE);
            bench.ticker.advance(5_000);                      // whenever the close is noticed, the pause is over by then
            String again = null;
            for (int i = 0; i < 100 && again == null; i++) {
                bench.ticker.advance(100);
                again = agent.asked.poll(50, TimeUnit.MILLISECONDS);
            }
            assertEquals("/catalog/members?index=1&wait=2000", again, "after its connection ended");
        }
    }

    @Test void aNewAgentIsAskedForTheWholeListAtOnceAndAgainWhileItSaysNothing() throws Exception {
        try (StandInDiscovery old = new StandInDiscovery(); StandInDiscovery agent = new StandInDiscovery();
             Bench bench = Bench.respWith("automatic", old.address())) {
            next(old);
            bench.reload(agent.address());
            assertEquals("/catalog/members", next(agent), "versions of the old one mean nothing");
            bench.ticker.advance(1_700);
            assertEquals("/catalog/members", next(agent), "its news counts as told after 4 s");
            bench.ticker.advance(5_000);
            assertTrue(old.asked.isEmpty());
        }
    }

    @Test void anOlderVersionIsNoNewsUnlessTheWholeListSaysItTwice() throws Exception {
        try (StandInDiscovery agent = new StandInDiscovery(); Bench bench = Bench.respWith("automatic", agent.address())) {
            next(agent);
            agent.answers.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait=2000", next(agent));
            for (String older : List.of(list(40, false), list(7, true))) {
                agent.answers.add(older);
                assertEquals("/catalog/members", nextAfterAPause(agent, bench), older);
            }
            agent.answers.add(list(41, true));
            assertEquals("/catalog/members?index=41&wait=2000", next(agent), "the list that was held stands");
            for (int i = 0; i < 2; i++) {
                agent.answers.add(list(7, true));
                assertEquals("/catalog/members", nextAfterAPause(agent, bench));
            }
            agent.answers.add(list(8, true));
            assertEquals("/catalog/members?index=8&wait=2000", next(agent), "the service counts anew");
        }
    }

    private static String nextAfterAPause(StandInDiscovery agent, Bench bench) throws InterruptedException {
        String call = null;
        for (int i = 0; i < 100 && call == null; i++) {
            bench.ticker.advance(20);
            call = agent.asked.poll(20, TimeUnit.MILLISECONDS);
        }
        return call;
    }
}
