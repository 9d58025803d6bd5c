package kelphollow.site;

/**
 * One unsafe request forwarded over a link, as the local site sees it. It ends once, in one of three ways, which are those
 * of any attempt: it ran, it never ran, it may have run. When the link breaks after the last byte was written, nobody here
 * knows; the remote site is queried on the next link, and only its answer that the request never ran lets it be sent again,
 * under a new identity. No clock: the owner says when its time is over. Confined to one event loop.
 */
public final class ForwardedRequest {
    /** What the owner does next. */
    public enum Next {
        /** Write the intent; {@link #intentRecorded} or {@link #intentFailed} follows. */
        RECORD_INTENT,
        /** Send the head, and the body as the link takes it. */
        SEND,
        /** Nothing: an event will come. */
        WAIT,
        /** Query the remote site for the outcome, on a link that is up. */
        QUERY,
        /** Ended: it ran, {@link #outcome} is its response. */
        RAN,
        /** Ended: it never ran and never will under this identity. */
        NEVER_RAN,
        /** Ended: it may have run. It is not sent again. */
        MAY_HAVE_RUN
    }

    private enum State {
        NEW,
        RECORDING_INTENT,
        SENT,
        /** The link broke after the last byte was written. */
        OUTCOME_UNKNOWN,
        QUERYING,
        ENDED
    }

    private final Identity identity;
    private State state = State.NEW;
    private boolean completelyWritten;
    private Next ending;
    private byte[] outcome;

    /** A request that is not sent yet. */
    public ForwardedRequest(Identity identity) {
        this.identity = identity;
    }

    /** The identity under which it is sent. */
    public Identity identity() {
        return identity;
    }

    /** The response, once it ran. */
    public byte[] outcome() {
        return outcome;
    }

    /** Whether it has ended; whatever comes later changes nothing. */
    public boolean isEnded() {
        return state == State.ENDED;
    }

    /** Whether the remote site may know more of it than the local one. */
    public boolean isOutcomeUnknown() {
        return state == State.OUTCOME_UNKNOWN || state == State.QUERYING;
    }

    /** Starts it; called once. */
    public Next begin() {
        state = State.RECORDING_INTENT;
        return Next.RECORD_INTENT;
    }

    /** The intent is synced. */
    public Next intentRecorded() {
        if (state != State.RECORDING_INTENT) {
            return unchanged();
        }
        state = State.SENT;
        return Next.SEND;
    }

    /** The intent could not be synced. */
    public Next intentFailed() {
        return state == State.RECORDING_INTENT ? end(Next.NEVER_RAN) : unchanged();
    }

    /** The last byte was written to the link's socket. From here on it may run. */
    public Next lastByteWritten() {
        completelyWritten |= state == State.SENT;
        return unchanged();
    }

    /** The remote site responded, on the link over which it was sent or to a query. */
    public Next responseReceived(OutcomeResponse response) {
        if (state != State.SENT && state != State.QUERYING) {
            return unchanged();
        }
        switch (response.kind()) {
            case RAN:
                outcome = response.outcome();
                return end(Next.RAN);
            case NEVER_RAN:
                return end(Next.NEVER_RAN);
            case UNKNOWN:
                return end(Next.MAY_HAVE_RUN);
            default:
                // Running: on its own link the response will come by itself, otherwise it is queried again.
                state = state == State.QUERYING ? State.OUTCOME_UNKNOWN : state;
                return Next.WAIT;
        }
    }

    /**
     * The link is gone, and no frame of it is accepted any more. If it broke before the last byte was written, the request
     * never ran: the remote site passes a body on as it comes, and a node does nothing before it has all of it.
     */
    public Next linkBroken() {
        switch (state) {
            case RECORDING_INTENT:
                return end(Next.NEVER_RAN);
            case SENT:
                if (!completelyWritten) {
                    return end(Next.NEVER_RAN);
                }
                state = State.OUTCOME_UNKNOWN;
                return Next.WAIT;
            case QUERYING:
                state = State.OUTCOME_UNKNOWN;
                return Next.WAIT;
            default:
                return unchanged();
        }
    }

    /** A link to the same site is up, or it is time to query again. */
    public Next query() {
        if (state != State.OUTCOME_UNKNOWN) {
            return unchanged();
        }
        state = State.QUERYING;
        return Next.QUERY;
    }

    /**
     * Its time is over, or its client has disconnected: the outcome of an attempt that is given up is not known, unless
     * nothing of it can be running. Who wants to know it later queries with the same identity.
     */
    public Next giveUp() {
        return switch (state) {
            case NEW, RECORDING_INTENT -> end(Next.NEVER_RAN);
            case SENT -> end(completelyWritten ? Next.MAY_HAVE_RUN : Next.NEVER_RAN);
            case OUTCOME_UNKNOWN, QUERYING -> end(Next.MAY_HAVE_RUN);
            case ENDED -> ending;
        };
    }

    private Next end(Next how) {
        state = State.ENDED;
        ending = how;
        return how;
    }

    /** For an event that changes nothing: the ending again, or to wait. */
    private Next unchanged() {
        return state == State.ENDED ? ending : Next.WAIT;
    }
}
