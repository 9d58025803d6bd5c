package kelphollow.routing;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Conditions that must hold: asserted where assertions are on ({@code -ea}), counted and logged elsewhere.
 * Thread-safe.
 */
public final class Invariant {
    private static final Logger LOG = Logger.getLogger(Invariant.class.getName());
    private static final AtomicLong BROKEN = new AtomicLong();

    private Invariant() {}

    /**
     * Checks a condition.
     *
     * @param what names the condition in the log
     * @return whether it holds
     */
    public static boolean holds(boolean condition, String what) {
        return holds(condition, () -> what);
    }

    /** The same; the name is made only if the condition does not hold. */
    public static boolean holds(boolean condition, Supplier<String> what) {
        if (!condition) {
            long count = BROKEN.incrementAndGet();
            LOG.severe(() -> "invariant broken (" + count + " so far): " + what.get());
            assert false : what.get();
        }
        return condition;
    }

    /** How many conditions have not held since the start. */
    public static long broken() {
        return BROKEN.get();
    }
}
