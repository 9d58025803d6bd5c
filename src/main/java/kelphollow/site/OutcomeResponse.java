package kelphollow.site;

/** A remote site's response to a query for the outcome of an unsafe request; {@code outcome} is null unless it ran. */
public record OutcomeResponse(Kind kind, byte[] outcome) {
    /** State of the queried request. */
    public enum Kind {
        /** It ran, and the response holds its outcome. */
        RAN,
        /** It is running; a later query returns its outcome. */
        RUNNING,
        /** It provably never ran, and the remote site ensures that it never will under this identity. */
        NEVER_RAN,
        /** It may have run; the remote site cannot determine it. */
        UNKNOWN
    }

    static final OutcomeResponse RUNNING = new OutcomeResponse(Kind.RUNNING, null);
    static final OutcomeResponse NEVER_RAN = new OutcomeResponse(Kind.NEVER_RAN, null);
    static final OutcomeResponse UNKNOWN = new OutcomeResponse(Kind.UNKNOWN, null);
}
