package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Bounds on retries at other sites. */
class SiteRetryBudgetTest {
    @Test void retriesStayAFractionOfFirstAttempts() {
        SiteRetryBudget budget = new SiteRetryBudget(0.1, 20);
        Random random = new Random(5);
        int firstAttempts = 0;
        int retries = 0;
        for (int i = 0; i < 100_000; i++) {
            if (random.nextInt(3) == 0) {
                budget.firstAttempt();
                firstAttempts++;
            } else if (budget.tryRetry()) {
                retries++;
            }
            assertTrue(retries <= 20 + 0.1 * firstAttempts + 1e-6);
        }
        assertTrue(retries > 0.09 * firstAttempts, retries + " retries for " + firstAttempts + " first attempts");
    }
}
