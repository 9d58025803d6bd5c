package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How much time a remote site gets. */
class RemainingTimeTest {
    @Test void theRemoteResponseIsBackBeforeTheLocalSiteMustRespond() {
        double remaining = RemainingTime.forRemote(1_000, 200, 40);
        double remoteTime = RemainingTime.remoteDeadline(remaining, 5_000, 77_000) - 77_000;     // its clock is another
        assertTrue(200 + 40 + remoteTime + 40 <= RemainingTime.localResponseAt(1_000));
    }

    @Test void aRequestThatCouldNotBeBackInTimeIsNotForwarded() {
        assertEquals(0, RemainingTime.forRemote(1_000, 900, 50));
    }

    @Test void aDeadlineThatIsNoNumberIsNotForwarded() {
        assertEquals(0, RemainingTime.forRemote(Double.NaN, 0, 1) > 0 ? 1 : 0);
    }

    @Test void anAbsurdRemainingTimeIsCutToTheMaximum() {
        assertEquals(5_000, RemainingTime.remoteDeadline(1e300, 5_000, 0));
    }

    @Test void aNegativeRemainingTimeIsOverAtOnce() {
        assertEquals(7, RemainingTime.remoteDeadline(-3, 5_000, 7));
    }
}
