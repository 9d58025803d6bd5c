package kelphollow.routing;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.Logger;

/** What must hold: asserted where assertions are on ({@code -ea}), counted and logged everywhere else. */
public final class Invariant {
    private static final Logger LOG = Logger.getLogger(Invariant.class.getName());
    private static final AtomicLong BROKEN = new AtomicLong();

    private Invariant() {}

    public static boolean holds(boolean condition, String what) {
        return holds(condition, () -> what);
    }

    /** The same; what must hold is put into words only if it does not. */
    public static boolean holds(boolean condition, Supplier<String> what) {
        if (!condition) {
            long count = BROKEN.incrementAndGet();
            LOG.severe(() -> "invariant broken (" + count + " so far): " + what.get());
            assert false : what.get();
        }
        return condition;
    }

    /** How many invariants were found broken since the start. */
    public static long broken() {
        return BROKEN.get();
    }
}
