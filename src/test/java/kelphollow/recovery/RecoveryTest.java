package kelphollow.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import kelphollow.recovery.CachedEndpointsAge.Freshness;
import kelphollow.recovery.RecoveredOutcome.Kind;
import kelphollow.recovery.RecoveredOutcomes.StoredRecord;
import org.junit.jupiter.api.Test;

/** Recovery of outcomes, rate limits and cached endpoints from the records found after a start. */
class RecoveryTest {
    private static final int SEEDS = 500;
    private static final int STEPS = 200;
    private final RecoveredOutcomes recovered = new RecoveredOutcomes(7, 1_000, 3_000, 0);

    @Test void aRecordedOutcomeHoldsWhicheverEpochWroteIt() {
        RecoveredOutcomes afterLoss = new RecoveredOutcomes(7, 1_000, 3_000, 6);

        assertEquals(Kind.RAN, recovered.classify(StoredRecord.OUTCOME, 1, false).kind());
        assertEquals(Kind.RAN, recovered.classify(StoredRecord.OUTCOME, 7, true).kind());
        assertEquals(Kind.RAN, afterLoss.classify(StoredRecord.OUTCOME, 3, false).kind());
    }

    @Test void anIntentOfAnEarlierEpochIsUnknownUntilItsLastAttemptCanNoLongerTakeEffect() {
        RecoveredOutcome outcome = recovered.classify(StoredRecord.INTENT, 6, true);

        assertEquals(Kind.UNKNOWN, outcome.kind());
        assertFalse(RecoveredOutcomes.isSettled(outcome, 3_999));
        assertTrue(RecoveredOutcomes.isSettled(outcome, 4_000));
        assertEquals(Kind.RUNNING, recovered.classify(StoredRecord.INTENT, 7, true).kind());
    }

    @Test void aMissingRecordProvesNoExecutionOnlyIfRecordsAreCompleteAndNoneWasLost() {
        RecoveredOutcomes afterLoss = new RecoveredOutcomes(7, 1_000, 3_000, 5);

        assertEquals(Kind.NEVER_RAN, recovered.classify(StoredRecord.NONE, 1, true).kind());
        assertEquals(Kind.UNKNOWN, recovered.classify(StoredRecord.NONE, 1, false).kind());
        assertEquals(Kind.UNKNOWN, afterLoss.classify(StoredRecord.NONE, 5, true).kind());
        assertEquals(Kind.NEVER_RAN, afterLoss.classify(StoredRecord.NONE, 6, true).kind(), "begun after the loss");
    }

    @Test void aLimitContinuesAfterACleanShutdownAndStartsEmptyAfterACrash() {
        LimitRecovery.Saved clean = new LimitRecovery.Saved(20, 10_000, true);
        LimitRecovery.Saved overrun = new LimitRecovery.Saved(-80, 0, true);
        LimitRecovery.Saved crashed = new LimitRecovery.Saved(20, 10_000, false);

        assertEquals(20 + 0.5 * 5 * 2, LimitRecovery.initialTokens(clean, 0.5, 5, 1_000, 10, 12_000), 1e-9);
        assertEquals(50, LimitRecovery.initialTokens(clean, 0.5, 5, 100, 10, 1e9), "at most the burst");
        assertEquals(20, LimitRecovery.initialTokens(clean, 0.5, 5, 100, 10, 5_000),
            "no time passes if the clock went back");
        assertEquals(-5, LimitRecovery.initialTokens(overrun, 0.5, 5, 100, 10, 0), 1e-9);
        assertEquals(0, LimitRecovery.initialTokens(crashed, 0.5, 5, 100, 10, 99_000));
        assertEquals(0, LimitRecovery.initialTokens(null, 1, 5, 100, 10, 0));
    }

    @Test void noSequenceOfCrashesAndCleanShutdownsSendsMoreThanTheLimit() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new RestartedInstance(seed).run();
        }
    }

    /** An instance that spends units whenever allowed, and restarts at random times after a clean shutdown or a crash. */
    private static final class RestartedInstance {
        private final int seed;
        private final Random random;
        private final double rate;
        private final double burst;
        private final double share;
        private double now;
        /** Tokens of a reference bucket that survives restarts; negative if the instance sent more than the limit. */
        private double referenceTokens;
        private double tokens;

        RestartedInstance(int seed) {
            this.seed = seed;
            random = new Random(seed);
            rate = 1 + random.nextInt(50);
            burst = rate * (1 + random.nextInt(5));
            share = 1.0 / (1 + random.nextInt(3));
            referenceTokens = burst * share;
            tokens = referenceTokens;
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                double passed = random.nextInt(400);
                now += passed;
                referenceTokens = filled(referenceTokens, passed);
                tokens = filled(tokens, passed);
                spend(1 + random.nextInt(6));
                assertTrue(referenceTokens >= -1e-6, "seed " + seed + " sent " + -referenceTokens + " too much");
                if (random.nextInt(15) == 0) {
                    restart();
                }
            }
        }

        private double filled(double before, double passed) {
            return Math.min(burst * share, before + passed / 1000 * rate * share);
        }

        private void spend(double units) {
            if (tokens >= units) {
                tokens -= units;
                referenceTokens -= units;
            }
        }

        private void restart() {
            boolean clean = random.nextBoolean();
            LimitRecovery.Saved saved = new LimitRecovery.Saved(clean ? tokens : burst, now, clean);
            double downtime = random.nextInt(5_000);
            now += downtime;
            referenceTokens = filled(referenceTokens, downtime);
            tokens = LimitRecovery.initialTokens(saved, share, rate, burst, 1, now);
        }
    }

    @Test void freshnessFollowsFromTheAgeOfTheList() {
        assertEquals(Freshness.FRESH, CachedEndpointsAge.freshness(1_000, 9_000, 3_600_000));
        assertEquals(Freshness.STALE, CachedEndpointsAge.freshness(1_000, 60_000, 3_600_000));
        assertEquals(Freshness.EXPIRED, CachedEndpointsAge.freshness(1_000, 3_601_000, 3_600_000));
        assertEquals(Freshness.EXPIRED, CachedEndpointsAge.freshness(5_000, 1_000, 3_600_000),
            "the age is unknown if the clock went back");
    }

    @Test void aNodeOfAStaleListCountsAsRestarted() {
        assertEquals(70, CachedEndpointsAge.effectiveStart(Freshness.STALE, 5, 70), "the node may have restarted");
        assertEquals(5, CachedEndpointsAge.effectiveStart(Freshness.FRESH, 5, 70));
    }
}
