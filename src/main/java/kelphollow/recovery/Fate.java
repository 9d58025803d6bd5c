package kelphollow.recovery;

/**
 * What is known of one unsafe piece of work from the records that were found. The intent is written before the first
 * byte goes out and the outcome after it, so that nothing goes out without a trace.
 *
 * @param kind what is known
 * @param safeFrom from this time on no attempt of an earlier life can still take effect, in milliseconds on the clock
 *     of {@link Fates}; only for {@link Kind#UNKNOWN}
 */
public record Fate(Kind kind, double safeFrom) {
    /** What may follow from it. */
    public enum Kind {
        /** It ran, and its outcome is recorded: answer from the record, never send. */
        RAN,
        /** It is proved never to have run: it may be sent. */
        NEVER_RAN,
        /** It may have run, or may yet: ask, and never send it blind. */
        UNKNOWN,
        /** It is out right now, in this very life. */
        RUNNING
    }

    static final Fate RAN = new Fate(Kind.RAN, 0);
    static final Fate NEVER_RAN = new Fate(Kind.NEVER_RAN, 0);
    static final Fate RUNNING = new Fate(Kind.RUNNING, 0);

    static Fate unknown(double safeFrom) {
        return new Fate(Kind.UNKNOWN, safeFrom);
    }
}
