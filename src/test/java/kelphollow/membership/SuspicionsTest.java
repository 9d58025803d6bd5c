package kelphollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kelphollow.membership.MemberUpdate.State;
import org.junit.jupiter.api.Test;

/** Lifeguard's suspicion timeouts: independent accusers shorten them from the longest to the shortest. */
class SuspicionsTest {
    private static final int SIZE = 9;                      // log10 of 10 members is 1
    private static final double SHORTEST = 4 * 500;
    private static final double LONGEST = 6 * SHORTEST;

    private final Suspicions suspicions = new Suspicions(MembershipSettings.DEFAULTS);

    private static MemberUpdate accusedBy(String accuser) {
        return new MemberUpdate("x", "", 1, 0, State.SUSPECT, accuser);
    }

    @Test void withoutConfirmationTheTimeoutIsTheLongest() {
        suspicions.start(100, accusedBy("a"), SIZE);

        assertEquals(100 + LONGEST, suspicions.nextExpiry());
        assertEquals(List.of(), suspicions.expired(99 + LONGEST));
        assertEquals(List.of("x"), suspicions.expired(100 + LONGEST));
    }

    @Test void independentAccusersShortenTheTimeoutDownToTheShortest() {
        suspicions.start(0, accusedBy("a"), SIZE);

        assertTrue(suspicions.confirm(accusedBy("b")));
        assertTrue(suspicions.nextExpiry() < LONGEST);
        assertTrue(suspicions.confirm(accusedBy("c")));
        assertTrue(suspicions.confirm(accusedBy("d")));

        assertEquals(SHORTEST, suspicions.nextExpiry());
        assertFalse(suspicions.confirm(accusedBy("e")), "more accusers than are needed");
    }

    @Test void anAccuserCountsOnce() {
        suspicions.start(0, accusedBy("a"), SIZE);

        assertFalse(suspicions.confirm(accusedBy("a")));

        assertEquals(LONGEST, suspicions.nextExpiry());
    }

    @Test void whereNobodyElseCanConfirmTheTimeoutIsTheShortest() {
        suspicions.start(0, accusedBy("a"), 2);

        assertEquals(SHORTEST, suspicions.nextExpiry());
    }

    @Test void aPauseOfThisProcessExtendsTheTimeout() {
        suspicions.start(0, accusedBy("a"), SIZE);

        suspicions.extendAll(700);

        assertEquals(LONGEST + 700, suspicions.nextExpiry());
    }

    @Test void aCancelledTimeoutNeverExpires() {
        suspicions.start(0, accusedBy("a"), SIZE);

        suspicions.cancel("x");

        assertEquals(Double.POSITIVE_INFINITY, suspicions.nextExpiry());
        assertFalse(suspicions.confirm(accusedBy("b")));
    }
}
