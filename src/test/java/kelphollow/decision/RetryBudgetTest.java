package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Retries as a share of first attempts within a sliding window. */
class RetryBudgetTest {
    private static final double WINDOW = 1_000;
    private static final double TICK = 2;

    @Test void freeRetriesAndTheShareOfFirstAttemptsAddUp() {
        RetryBudget budget = new RetryBudget(WINDOW, 1, 0.5, TICK);
        budget.addFirstAttempt(0);
        budget.addFirstAttempt(0);

        budget.addRetry(0);
        assertTrue(budget.allows(0));
        budget.addRetry(0);

        assertFalse(budget.allows(0));
    }

    @Test void aFirstAttemptExpiresOneTickEarly() {
        RetryBudget budget = new RetryBudget(WINDOW, 0, 1, TICK);
        budget.addFirstAttempt(0);

        assertTrue(budget.allows(WINDOW - TICK - 0.1));
        assertFalse(budget.allows(WINDOW - TICK));
    }

    @Test void aRetryExpiresOneTickLate() {
        RetryBudget budget = new RetryBudget(WINDOW, 1, 0, TICK);
        budget.addRetry(0);

        assertFalse(budget.allows(WINDOW + TICK));
        assertTrue(budget.allows(WINDOW + TICK + 0.1));
    }

    @Test void aWindowOfZeroDisablesTheBudget() {
        RetryBudget budget = new RetryBudget(0, 0, 0, TICK);
        budget.addRetry(0);

        assertTrue(budget.allows(0));
    }
}
