package kelphollow.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import org.junit.jupiter.api.Test;

/** Changed states are transmitted a bounded number of times, urgent ones first and in full. */
class StateGossipQueueTest {
    private static final int MEMBERS = 10;
    private static final int ROUTINE_LIMIT = 3;             // ln(11) rounded up
    private static final int LARGE = 10_000;

    private final Digest digest = new Digest("self", 1, 10_000, 100);
    private final StateGossipQueue queue = new StateGossipQueue(1.5, 1);

    private void add(String instance, boolean urgent) {
        digest.merge(0, List.of(new InstanceState(instance, 1, 1, 0, Map.of())));
        queue.add(instance, urgent);
    }

    private List<String> next(int maxBytes, boolean urgentOnly) {
        return queue.next(0, digest, MEMBERS, maxBytes, urgentOnly).stream().map(InstanceState::instance).toList();
    }

    @Test void urgentStatesGoFirst() {
        add("a", false);
        add("b", true);

        assertEquals(List.of("b", "a"), next(LARGE, false));
        assertEquals(List.of("b"), next(LARGE, true));
    }

    @Test void oneStateAlwaysFitsAndFurtherOnesOnlyWithinTheMaximum() {
        add("a", false);
        add("b", false);

        assertEquals(List.of("a"), next(1, false));
        assertEquals(List.of("b"), next(1, false), "the least transmitted first");
    }

    @Test void aRoutineStateIsTransmittedUpToTheLimitAndDuplicatesCount() {
        add("a", false);
        queue.receivedDuplicate("a", MEMBERS);

        for (int i = 1; i < ROUTINE_LIMIT; i++) {
            assertEquals(List.of("a"), next(LARGE, false));
        }

        assertTrue(queue.isEmpty());
    }

    @Test void duplicatesDoNotCountForAnUrgentState() {
        add("a", true);

        for (int i = 0; i < 100; i++) {
            queue.receivedDuplicate("a", MEMBERS);
        }

        assertTrue(queue.hasUrgent());
    }

    @Test void beyondTheBoundTheOldestRoutineStateIsDropped() {
        add("urgent", true);
        List<String> expected = new ArrayList<>(List.of("urgent"));
        for (int i = 0; i <= StateGossipQueue.MAX_ROUTINE; i++) {
            add("r" + i, false);
            expected.add("r" + i);
        }
        expected.remove("r0");

        assertEquals(expected, next(LARGE, false));
    }

    @Test void aStateThatHasExpiredIsNotTransmitted() {
        add("a", false);
        digest.expire(10_000);

        assertEquals(List.of(), next(LARGE, false));
        assertTrue(queue.isEmpty());
        assertFalse(queue.hasUrgent());
    }
}
