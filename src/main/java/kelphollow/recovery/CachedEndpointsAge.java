package kelphollow.recovery;

/**
 * How far a cached endpoint list may be trusted, by its age. A list says where nodes were, not where they are: what
 * its age allows holds for the start, until the list's source has answered. Times are Unix milliseconds. Stateless.
 */
public final class CachedEndpointsAge {
    /** What may be done with the list. */
    public enum Freshness {
        /** It is as old as lists usually are when they arrive. */
        FRESH,
        /** Most nodes are where they were; each has to be confirmed by its answers. */
        STALE,
        /** Addresses may belong to others by now: it is not used. */
        EXPIRED
    }

    /** Age up to which a list is fresh: one from its source may be as late. */
    static final double FRESH_FOR = 10_000;

    private CachedEndpointsAge() {}

    /** The age; a clock that went back since makes it unknown, which counts as {@code expiresAfter}. */
    public static double age(double savedAt, double now, double expiresAfter) {
        return savedAt > now ? expiresAfter : now - savedAt;
    }

    /** What may be done with a list; it expires at the age {@code expiresAfter}. */
    public static Freshness freshness(double savedAt, double now, double expiresAfter) {
        double age = age(savedAt, now, expiresAfter);
        if (age >= expiresAfter) {
            return Freshness.EXPIRED;
        }
        return age <= FRESH_FOR ? Freshness.FRESH : Freshness.STALE;
    }

    /**
     * When a node of such a list counts as started. A node of an aged list may have restarted since, so it is in slow
     * start.
     *
     * @param startedAt when it started by the list
     */
    public static double effectiveStart(Freshness freshness, double startedAt, double now) {
        return freshness == Freshness.FRESH ? startedAt : Math.max(startedAt, now);
    }
}
