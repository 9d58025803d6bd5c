package kelphollow.routing;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Checks conditions that must always hold. A broken one is counted and logged, and fails as an assertion where assertions
 * are enabled ({@code -ea}). Thread-safe.
 */
public final class Invariant {
    private static final Logger LOG = Logger.getLogger(Invariant.class.getName());
    private static final AtomicLong BROKEN = new AtomicLong();

    private Invariant() {}

    /**
     * Checks a condition.
     *
     * @param what describes the violation, for the log
     * @return whether it holds
     */
    public static boolean holds(boolean condition, String what) {
        return holds(condition, () -> what);
    }

    /** Checks a condition; {@code what} is evaluated only if it does not hold. */
    public static boolean holds(boolean condition, Supplier<String> what) {
        if (!condition) {
            long count = BROKEN.incrementAndGet();
            LOG.severe(() -> "invariant broken (" + count + " so far): " + what.get());
            assert false : what.get();
        }
        return condition;
    }

    /** How many checks have failed since the start. */
    public static long broken() {
        return BROKEN.get();
    }
}
