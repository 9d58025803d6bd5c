package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Number of requests that a link accepts, against a simulated remote site. */
class LinkWindowTest {
    private record Response(double at, double sentAt) {}

    /** Returns the final window for a site with {@code servers} servers; all times are in milliseconds. */
    private static int windowFor(int servers, double serviceTime, double delay, LinkWindow window, double millis) {
        PriorityQueue<Response> responses = new PriorityQueue<>(Comparator.comparingDouble(Response::at));
        PriorityQueue<Double> serversFreeAt = new PriorityQueue<>();
        for (int i = 0; i < servers; i++) {
            serversFreeAt.add(0.0);
        }
        double now = 0;
        while (now < millis) {
            while (window.hasCapacity()) {
                window.sent();
                double servedAt = Math.max(now, serversFreeAt.poll()) + serviceTime;
                serversFreeAt.add(servedAt);
                responses.add(new Response(servedAt + delay, now));
            }
            Response next = responses.poll();
            now = next.at;
            window.answered(now, now - next.sentAt);
        }
        return window.size();
    }

    @ParameterizedTest @ValueSource(ints = {4, 16, 64}) void theWindowFollowsTheCapacityOfTheRemoteSite(int servers) {
        // With 20 ms of service and 40 ms of delay, 3 requests per server keep all servers busy without queueing.
        int size = windowFor(servers, 20, 40, new LinkWindow(LinkWindow.Options.DEFAULTS, 0), 60_000);
        assertTrue(size >= 3 * servers && size <= 3 * servers + 16, servers + " servers: " + size);
    }

    @Test void aStallHalvesTheWindowAndNothingLeavesItsBounds() {
        LinkWindow window = new LinkWindow(LinkWindow.Options.DEFAULTS, 0);
        for (int i = 0; i < 20; i++) {
            window.stalled();
        }
        assertEquals(LinkWindow.Options.DEFAULTS.min(), window.size());
        assertTrue(windowFor(100_000, 1, 1, window, 5_000) <= LinkWindow.Options.DEFAULTS.max());
    }
}
