package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import kelphollow.decision.ControlSettings.Plan;
import org.junit.jupiter.api.Test;

/** Token bucket of 24 units that refills at 20 units per second, with a slack of 6 units. */
class RateLimiterTest {
    private static final double START = 1_000;
    private static final double BORROWED = 0.75 * 6;

    private final RateLimiter limiter = new RateLimiter(ControlHarness.LIMITED, 1, START);

    @Test void aBucketStartsWithTokensBorrowedFromTheSlack() {
        assertTrue(limiter.allows(BORROWED, START));
        assertFalse(limiter.allows(BORROWED + 0.01, START));
        assertEquals(0, limiter.tokensNetOfBorrowed(START));
    }

    @Test void aQuarterOfTheRefillRepaysBorrowedTokens() {
        double tokens = limiter.tokensNetOfBorrowed(START + 100);

        assertEquals(2.0, tokens, 1e-9, "2 units refilled, of which 0.5 repay borrowed tokens");
        assertTrue(limiter.allows(BORROWED + 1.5, START + 100));
        assertFalse(limiter.allows(BORROWED + 1.51, START + 100));
    }

    @Test void aBucketNeverHoldsMoreThanTheBurst() {
        assertTrue(limiter.allows(24, START + 60_000));
        assertFalse(limiter.allows(24.01, START + 60_000));
    }

    @Test void consumedUnitsAreAvailableAgainAfterTheRefill() {
        limiter.restore(10, START);

        limiter.consume(10);

        assertFalse(limiter.allows(1, START));
        assertEquals(50, limiter.waitFor(1, START), 1e-9);
        assertTrue(limiter.allows(1, START + 50));
    }

    @Test void theWaitIncludesTheRepaymentInTheMeantime() {
        limiter.consume(BORROWED);

        double wait = limiter.waitFor(3, START);

        assertEquals((3 + 1) / 20.0 * 1000, wait, 1e-9);
        assertTrue(limiter.allows(3 - 1e-9, START + wait));
    }

    @Test void holdsOnlyAfterComparesTheRefillWithTheGivenTime() {
        limiter.restore(0, START);

        assertTrue(limiter.holdsOnlyAfter(START + 99, 2, START));
        assertFalse(limiter.holdsOnlyAfter(START + 101, 2, START));
    }

    @Test void theShareFollowsTheNumberOfInstances() {
        limiter.restore(24, START);

        limiter.setInstances(4, START);

        assertEquals(4, limiter.instances());
        assertEquals(6, limiter.tokensNetOfBorrowed(START), 1e-9, "a smaller share caps the tokens at once");
        limiter.consume(6);
        assertEquals(200, limiter.waitFor(1, START), 1e-9, "a quarter of the rate");
    }

    @Test void aPlanWithoutLimitAllowsEverything() {
        RateLimiter unlimited = new RateLimiter(new Plan("p", 10, 0, 1, 1, 0, 0, 0), 1, START);

        unlimited.consume(1e9);

        assertTrue(unlimited.allows(1e9, START));
        assertFalse(unlimited.holdsOnlyAfter(START, 1e9, START));
    }
}
