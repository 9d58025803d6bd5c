package kelphollow.recovery;

/**
 * Derives the freshness of a cached endpoint list from its age. A list tells where nodes were, not where they are, so the
 * cached one is used only at the start, until its source has responded. Times are Unix milliseconds. Stateless.
 */
public final class CachedEndpointsAge {
    /** How far the list may be used. */
    public enum Freshness {
        /** The list is no older than lists usually are when they arrive from the source. */
        FRESH,
        /** Most nodes still have their addresses; each node must be confirmed by its responses. */
        STALE,
        /** Addresses may have been reassigned: the list is not used. */
        EXPIRED
    }

    /** Age up to which a list is fresh: a list from its source may arrive as late. */
    static final double FRESH_FOR_MS = 10_000;

    private CachedEndpointsAge() {}

    /** The age of a list; if the clock went back since, the age is unknown and counts as {@code expiresAfter}. */
    public static double age(double savedAt, double now, double expiresAfter) {
        return savedAt > now ? expiresAfter : now - savedAt;
    }

    /** The freshness of a list that expires at the age {@code expiresAfter}. */
    public static Freshness freshness(double savedAt, double now, double expiresAfter) {
        double age = age(savedAt, now, expiresAfter);
        if (age >= expiresAfter) {
            return Freshness.EXPIRED;
        }
        return age <= FRESH_FOR_MS ? Freshness.FRESH : Freshness.STALE;
    }

    /**
     * The time at which a node of the list counts as started. A node of a stale list may have restarted since the list was
     * saved, so it counts as started now and is in slow start.
     *
     * @param startedAt the start time that the list gives
     */
    public static double effectiveStart(Freshness freshness, double startedAt, double now) {
        return freshness == Freshness.FRESH ? startedAt : Math.max(startedAt, now);
    }
}
