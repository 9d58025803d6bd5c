package kelphollow.protocol.resp;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.routing.Ticker;
import org.junit.jupiter.api.Test;

/** Checks how long a client connection may be idle before it is closed. */
class ConnectionActivityTest {
    private double now = 1_000;
    private final ConnectionActivity activity = new ConnectionActivity(new Ticker() {
        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            throw new UnsupportedOperationException();
        }
    });

    @Test void connectionWithoutRequestExpiresAfterShortTimeout() {
        now += 2_199;
        assertFalse(activity.hasExpired(false));

        now += 1;
        assertTrue(activity.hasExpired(false));
    }

    @Test void connectionWithRequestsExpiresLaterUnlessCrowded() {
        activity.requested();
        now += 9_999;
        assertFalse(activity.hasExpired(false));
        assertTrue(activity.hasExpired(true));

        now += 1;
        assertTrue(activity.hasExpired(false));
    }

    @Test void slowlySentCommandExpiresDespiteActivity() {
        activity.requested();
        for (int i = 0; i < 10; i++) {
            activity.readEnded(false);
            assertFalse(activity.hasExpired(false));
            now += 1_000;
        }
        activity.touch();
        assertTrue(activity.hasExpired(false), "10 s since the first byte");
    }

    @Test void completeCommandRestartsTheTimeout() {
        activity.requested();
        activity.readEnded(false);
        now += 9_000;
        activity.readEnded(true);
        activity.readEnded(false);

        now += 2_000;
        assertFalse(activity.hasExpired(false));
    }
}
