package kelphollow.site;

/**
 * State machine of one unsafe request that the local site forwards over a link. It ends once, with one of the three results
 * of any attempt: it ran, it never ran, or it may have run. If the link breaks after the last byte was written, the outcome
 * is unknown to the local site; it queries the remote site on the next link, and may send the request again, under a new
 * identity, only if the remote site responds that it never ran. Has no clock: the owner abandons the request at its
 * deadline. Confined to one event loop.
 */
public final class ForwardedRequest {
    /** What the owner must do next. */
    public enum NextStep {
        /** Write the intent; {@link #intentRecorded} or {@link #intentFailed} follows. */
        RECORD_INTENT,
        /** Send the head, and the body as fast as the link accepts it. */
        SEND,
        /** Wait for the next event. */
        WAIT,
        /** Query the remote site for the outcome over the current link. */
        QUERY,
        /** Ended: it ran, and {@link #outcome} is its response. */
        RAN,
        /** Ended: it never ran, and never will under this identity. */
        NEVER_RAN,
        /** Ended: it may have run, and must not be sent again. */
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

    private final RequestIdentity identity;
    private State state = State.NEW;
    private boolean completelyWritten;
    private NextStep result;
    private byte[] outcome;

    /** Creates a request that has not been sent yet. */
    public ForwardedRequest(RequestIdentity identity) {
        this.identity = identity;
    }

    /** Returns the identity under which it is sent. */
    public RequestIdentity identity() {
        return identity;
    }

    /** Returns the response if it ran, else null. */
    public byte[] outcome() {
        return outcome;
    }

    /** Returns whether it has ended; later events have no effect. */
    public boolean isEnded() {
        return state == State.ENDED;
    }

    /** Returns whether the remote site may know the outcome while the local one does not. */
    public boolean isOutcomeUnknown() {
        return state == State.OUTCOME_UNKNOWN || state == State.QUERYING;
    }

    /** Starts the request; must be called once. */
    public NextStep begin() {
        state = State.RECORDING_INTENT;
        return NextStep.RECORD_INTENT;
    }

    /** Called when the intent is synced. */
    public NextStep intentRecorded() {
        if (state != State.RECORDING_INTENT) {
            return unchanged();
        }
        state = State.SENT;
        return NextStep.SEND;
    }

    /** Called when the intent could not be synced. */
    public NextStep intentFailed() {
        return state == State.RECORDING_INTENT ? end(NextStep.NEVER_RAN) : unchanged();
    }

    /** Called when the last byte was written to the link's socket; from then on the request may run. */
    public NextStep lastByteWritten() {
        completelyWritten |= state == State.SENT;
        return unchanged();
    }

    /** Called when the remote site responds to the request on its original link, or to a query. */
    public NextStep responseReceived(OutcomeResponse response) {
        if (state != State.SENT && state != State.QUERYING) {
            return unchanged();
        }
        switch (response.kind()) {
            case RAN:
                outcome = response.outcome();
                return end(NextStep.RAN);
            case NEVER_RAN:
                return end(NextStep.NEVER_RAN);
            case UNKNOWN:
                return end(NextStep.MAY_HAVE_RUN);
            default:
                // Running: on the original link the response will follow, otherwise the outcome is queried again.
                state = state == State.QUERYING ? State.OUTCOME_UNKNOWN : state;
                return NextStep.WAIT;
        }
    }

    /**
     * Called when the link is closed and no further frame of it is accepted. If it broke before the last byte was written,
     * the request never ran: the remote site streams the body to the node, which does not act before the body is complete.
     */
    public NextStep linkBroken() {
        switch (state) {
            case RECORDING_INTENT:
                return end(NextStep.NEVER_RAN);
            case SENT:
                if (!completelyWritten) {
                    return end(NextStep.NEVER_RAN);
                }
                state = State.OUTCOME_UNKNOWN;
                return NextStep.WAIT;
            case QUERYING:
                state = State.OUTCOME_UNKNOWN;
                return NextStep.WAIT;
            default:
                return unchanged();
        }
    }

    /** Called when a link to the same site comes up, or when it is time to query again. */
    public NextStep query() {
        if (state != State.OUTCOME_UNKNOWN) {
            return unchanged();
        }
        state = State.QUERYING;
        return NextStep.QUERY;
    }

    /**
     * Called when its deadline has passed or its client has disconnected. The outcome of an abandoned attempt is unknown,
     * unless it cannot have started to run; it can be queried later under the same identity.
     */
    public NextStep abandon() {
        return switch (state) {
            case NEW, RECORDING_INTENT -> end(NextStep.NEVER_RAN);
            case SENT -> end(completelyWritten ? NextStep.MAY_HAVE_RUN : NextStep.NEVER_RAN);
            case OUTCOME_UNKNOWN, QUERYING -> end(NextStep.MAY_HAVE_RUN);
            case ENDED -> result;
        };
    }

    private NextStep end(NextStep finalStep) {
        state = State.ENDED;
        result = finalStep;
        return finalStep;
    }

    /** Returns the next step after an event without effect: the final result if ended, else {@link NextStep#WAIT}. */
    private NextStep unchanged() {
        return state == State.ENDED ? result : NextStep.WAIT;
    }
}
