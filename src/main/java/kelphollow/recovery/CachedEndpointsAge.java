package kelphollow.recovery;

/**
 * How far a node list that was kept may be believed. No I/O; times are Unix milliseconds. A list says where nodes were,
 * not where they are: what its age allows is for the start, until the list's source is heard again.
 */
public final class CachedEndpointsAge {
    /** What may be done with it. */
    public enum Trust {
        /** It is as old as lists on their way usually are. */
        FRESH,
        /** Most nodes are where they were; each has to be confirmed by its answers. */
        AGED,
        /** Addresses may belong to others by now: it is not used. */
        EXPIRED
    }

    /** A list reaches an instance up to this late anyway. */
    static final double FRESH_FOR = 10_000;

    private CachedEndpointsAge() {}

    /** The age; a clock that went back since makes it unknown, which counts as {@code expiresAfter}. */
    public static double age(double savedAt, double now, double expiresAfter) {
        return savedAt > now ? expiresAfter : now - savedAt;
    }

    public static Trust trust(double savedAt, double now, double expiresAfter) {
        double age = age(savedAt, now, expiresAfter);
        return age >= expiresAfter ? Trust.EXPIRED : age <= FRESH_FOR ? Trust.FRESH : Trust.AGED;
    }

    /**
     * When a node of such a list counts as last started, for the rule on cold nodes: a node of an aged list may have
     * started anew since and be cold, so that it gets no more than a cold one bears.
     */
    public static double bornFor(Trust trust, double born, double now) {
        return trust == Trust.FRESH ? born : Math.max(born, now);
    }
}
