package kelphollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.membership.MemberUpdate.State;
import org.junit.jupiter.api.Test;

/** Updates are transmitted a bounded number of times, the least transmitted first. */
class GossipQueueTest {
    private static final int MEMBERS = 8;
    private static final int LIMIT = 4;                     // log10(9) rounded up, times four transmissions

    private final GossipQueue queue = new GossipQueue();

    private static MemberUpdate alive(String name, long incarnation) {
        return new MemberUpdate(name, "", 1, incarnation, State.ALIVE, "");
    }

    @Test void anUpdateIsTransmittedUpToTheLimit() {
        queue.add(alive("a", 0));

        for (int i = 0; i < LIMIT; i++) {
            assertEquals(List.of(alive("a", 0)), queue.next(10, MEMBERS, null));
        }

        assertTrue(queue.isEmpty());
    }

    @Test void theLeastTransmittedGoesFirst() {
        queue.add(alive("a", 0));
        queue.next(1, MEMBERS, null);
        queue.add(alive("b", 0));

        assertEquals(List.of(alive("b", 0)), queue.next(1, MEMBERS, null));
    }

    @Test void aNewerUpdateOfTheSameMemberReplacesTheOlder() {
        queue.add(alive("a", 0));
        queue.add(alive("a", 1));

        assertEquals(List.of(alive("a", 1)), queue.next(10, MEMBERS, null));
    }

    @Test void theFirstUpdateOfAMessageIsNotRepeatedInIt() {
        queue.add(alive("a", 0));
        queue.add(alive("b", 0));

        assertEquals(List.of(alive("b", 0), alive("a", 0)), queue.next(10, MEMBERS, alive("b", 0)));
    }

    @Test void duplicatesReceivedCountForTheFirstUpdateOfAnEpochOnly() {
        queue.add(alive("a", 0));
        queue.add(alive("b", 1));

        for (int i = 0; i < LIMIT; i++) {
            queue.receivedDuplicate(alive("a", 0), MEMBERS);
            queue.receivedDuplicate(alive("b", 1), MEMBERS);
        }

        assertEquals(List.of(alive("b", 1)), queue.next(10, MEMBERS, null));
    }
}
