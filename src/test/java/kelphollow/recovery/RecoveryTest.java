package kelphollow.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import kelphollow.recovery.CachedEndpointsAge.Freshness;
import kelphollow.recovery.RecoveredOutcome.Kind;
import kelphollow.recovery.RecoveredOutcomes.StoredRecord;
import org.junit.jupiter.api.Test;

/** What is decided from what was found after a start. */
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

    @Test void anIntentOfAnEarlierEpochIsUnknownUntilItsLastAttemptMustBeOver() {
        RecoveredOutcome outcome = recovered.classify(StoredRecord.INTENT, 6, true);

        assertEquals(Kind.UNKNOWN, outcome.kind());
        assertFalse(RecoveredOutcomes.isSettled(outcome, 3_999));
        assertTrue(RecoveredOutcomes.isSettled(outcome, 4_000));
        assertEquals(Kind.RUNNING, recovered.classify(StoredRecord.INTENT, 7, true).kind());
    }

    @Test void aMissingRecordProvesSomethingOnlyIfRecordsAreCompleteAndNoneWasLost() {
        RecoveredOutcomes afterLoss = new RecoveredOutcomes(7, 1_000, 3_000, 5);

        assertEquals(Kind.NEVER_RAN, recovered.classify(StoredRecord.NONE, 1, true).kind());
        assertEquals(Kind.UNKNOWN, recovered.classify(StoredRecord.NONE, 1, false).kind());
        assertEquals(Kind.UNKNOWN, afterLoss.classify(StoredRecord.NONE, 5, true).kind());
        assertEquals(Kind.NEVER_RAN, afterLoss.classify(StoredRecord.NONE, 6, true).kind(), "begun after the loss");
    }

    @Test void aLimitGoesOnFromACleanShutdownAndStartsEmptyAfterACrash() {
        LimitRecovery.Saved clean = new LimitRecovery.Saved(20, 10_000, true);
        LimitRecovery.Saved overrun = new LimitRecovery.Saved(-80, 0, true);
        LimitRecovery.Saved crashed = new LimitRecovery.Saved(20, 10_000, false);

        assertEquals(20 + 0.5 * 5 * 2, LimitRecovery.initialTokens(clean, 0.5, 5, 1_000, 10, 12_000), 1e-9);
        assertEquals(50, LimitRecovery.initialTokens(clean, 0.5, 5, 100, 10, 1e9), "no more than the burst");
        assertEquals(20, LimitRecovery.initialTokens(clean, 0.5, 5, 100, 10, 5_000), "a clock that went back is no time");
        assertEquals(-5, LimitRecovery.initialTokens(overrun, 0.5, 5, 100, 10, 0), 1e-9);
        assertEquals(0, LimitRecovery.initialTokens(crashed, 0.5, 5, 100, 10, 99_000));
        assertEquals(0, LimitRecovery.initialTokens(null, 1, 5, 100, 10, 0));
    }

    @Test void noSequenceOfCrashesAndCleanShutdownsSendsMoreThanTheLimit() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new RestartedInstance(seed).run();
        }
    }

    /** An instance that spends whenever it may, ends cleanly or by a crash at random, and comes back at random. */
    private static final class RestartedInstance {
        private final int seed;
        private final Random random;
        private final double rate;
        private final double burst;
        private final double share;
        private double now;
        /** Tokens of a bucket that outlives the restarts: below zero, too much was sent. */
        private double trueTokens;
        private double tokens;

        RestartedInstance(int seed) {
            this.seed = seed;
            random = new Random(seed);
            rate = 1 + random.nextInt(50);
            burst = rate * (1 + random.nextInt(5));
            share = 1.0 / (1 + random.nextInt(3));
            trueTokens = burst * share;
            tokens = trueTokens;
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                double passed = random.nextInt(400);
                now += passed;
                trueTokens = filled(trueTokens, passed);
                tokens = filled(tokens, passed);
                spend(1 + random.nextInt(6));
                assertTrue(trueTokens >= -1e-6, "seed " + seed + " sent " + -trueTokens + " too much");
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
                trueTokens -= units;
            }
        }

        private void restart() {
            boolean clean = random.nextBoolean();
            LimitRecovery.Saved saved = new LimitRecovery.Saved(clean ? tokens : burst, now, clean);
            double away = random.nextInt(5_000);
            now += away;
            trueTokens = filled(trueTokens, away);
            tokens = LimitRecovery.initialTokens(saved, share, rate, burst, 1, now);
        }
    }

    @Test void aListIsTrustedByItsAge() {
        assertEquals(Freshness.FRESH, CachedEndpointsAge.freshness(1_000, 9_000, 3_600_000));
        assertEquals(Freshness.STALE, CachedEndpointsAge.freshness(1_000, 60_000, 3_600_000));
        assertEquals(Freshness.EXPIRED, CachedEndpointsAge.freshness(1_000, 3_601_000, 3_600_000));
        assertEquals(Freshness.EXPIRED, CachedEndpointsAge.freshness(5_000, 1_000, 3_600_000),
            "a clock that went back: age unknown");
    }

    @Test void aNodeOfAnAgedListCountsAsRestarted() {
        assertEquals(70, CachedEndpointsAge.effectiveStart(Freshness.STALE, 5, 70), "it may be in slow start");
        assertEquals(5, CachedEndpointsAge.effectiveStart(Freshness.FRESH, 5, 70));
    }
}
