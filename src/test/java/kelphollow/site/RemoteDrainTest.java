package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Requests that may still be sent to, or awaited from, a draining remote site. */
class RemoteDrainTest {
    private final RemoteDrain drain = new RemoteDrain(250);

    @Test void aNoticeStopsNewRequestsImmediatelyAndLetsOthersFinish() {
        assertTrue(drain.mayStartRequest());

        drain.noticeReceived(2_000, 100);

        assertFalse(drain.mayStartRequest());
        assertEquals(350, drain.lastStartAt());
        assertFalse(drain.isClosed(2_099));
    }

    @Test void theEarliestCloseTimeOfSeveralNoticesApplies() {
        drain.noticeReceived(2_000, 100);

        drain.noticeReceived(5_000, 300);

        assertTrue(drain.isClosed(2_100));
    }
}
