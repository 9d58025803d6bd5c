package kelphollow.site;

/** A remote site's response to a query for the outcome of an unsafe request; {@code outcome} is null unless it ran. */
public record OutcomeResponse(Kind kind, byte[] outcome) {
    /** What became of the request. */
    public enum Kind {
        /** It ran: this is its outcome. */
        RAN,
        /** It is running; a later query gives more. */
        RUNNING,
        /** It is proved that it never ran, and the remote site ensures that under this identity it never will. */
        NEVER_RAN,
        /** It may have run: nobody knows. */
        UNKNOWN
    }

    static final OutcomeResponse RUNNING = new OutcomeResponse(Kind.RUNNING, null);
    static final OutcomeResponse NEVER_RAN = new OutcomeResponse(Kind.NEVER_RAN, null);
    static final OutcomeResponse UNKNOWN = new OutcomeResponse(Kind.UNKNOWN, null);
}
