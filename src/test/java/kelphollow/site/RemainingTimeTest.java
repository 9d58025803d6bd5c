package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Time budget that a request carries to a remote site. */
class RemainingTimeTest {
    @Test void theRemoteResponseIsBackBeforeTheLocalSiteMustRespond() {
        double remaining = RemainingTime.forRemote(1_000, 200, 40);
        double remoteTime = RemainingTime.remoteDeadline(remaining, 5_000, 77_000) - 77_000;     // on another clock
        assertTrue(200 + 40 + remoteTime + 40 <= RemainingTime.localResponseAt(1_000));
    }

    @Test void aRequestThatCouldNotBeBackInTimeIsNotForwarded() {
        assertEquals(0, RemainingTime.forRemote(1_000, 900, 50));
    }

    @Test void aRequestWithoutAValidDeadlineIsNotForwarded() {
        assertEquals(0, RemainingTime.forRemote(Double.NaN, 0, 1) > 0 ? 1 : 0);
    }

    @Test void anImplausibleRemainingTimeIsCappedAtTheMaximum() {
        assertEquals(5_000, RemainingTime.remoteDeadline(1e300, 5_000, 0));
    }

    @Test void aNegativeRemainingTimeExpiresImmediately() {
        assertEquals(7, RemainingTime.remoteDeadline(-3, 5_000, 7));
    }
}
