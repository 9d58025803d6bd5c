package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Share of a volume's arrival curve by the usage through this instance and through others. */
class UsageShareTest {
    private static final double START = 1_000;
    private static final double EVEN = 0.2;
    private static final double MEAN_UNITS = 2;
    private static final double UNKNOWN = -1;

    private final UsageShare usage = new UsageShare(START);

    @Test void theShareIsEvenUntilUsageIsReported() {
        usage.served(100);

        assertEquals(EVEN, usage.share(EVEN, MEAN_UNITS));
    }

    @Test void theShareIsThePartOfTheTotalUsage() {
        usage.served(30);
        usage.reported(START, 10, UNKNOWN, 50);

        assertEquals(0.75, usage.share(EVEN, MEAN_UNITS), 1e-12);
    }

    @Test void theShareIsAtLeastHalfOfEven() {
        usage.served(1);
        usage.reported(START, 999, UNKNOWN, 50);

        assertEquals(EVEN / 2, usage.share(EVEN, MEAN_UNITS));
    }

    @Test void usageDecays() {
        usage.served(30);
        usage.reported(START + UsageShare.DECAY_MS, 30 / Math.E, UNKNOWN, 50);

        assertEquals(0.5, usage.share(EVEN, MEAN_UNITS), 1e-12);
    }

    @Test void aReportInPercentReplacesTheCountedUnits() {
        usage.served(50);
        usage.reported(START, 1_000, 80, 50);

        assertEquals(50 / 200.0, usage.share(EVEN, MEAN_UNITS), 1e-12, "80 % of 50 units per second over 5 seconds");
    }
}
