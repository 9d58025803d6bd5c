package kelphollow.site;

/**
 * One unsafe request on its way through a link, as its near side sees it. It ends once, in one of three ways, which are
 * those of any attempt: it ran, it never ran, it may have run. When the link breaks after the last byte was written,
 * nobody here knows; the far site is asked on the next link, and only its word that it never ran lets the request be
 * sent again, under a new identity. No clock runs here: who owns the request says when its time is over. One event loop.
 */
public final class Handover {
    /** What the owner does next. */
    public enum Next {
        /** Write the intent; {@link #intentSafe} or {@link #intentFailed} follows. */
        RECORD,
        /** Send the head, and the body as the link takes it. */
        SEND,
        /** Nothing: something will come. */
        WAIT,
        /** Ask the far site what became of it, on a link that is up. */
        ASK,
        /** Over: it ran, {@link #outcome} is its answer. */
        RAN,
        /** Over: it never ran and never will under this identity. */
        NEVER_RAN,
        /** Over: it may have run. It is not sent again. */
        MAY_HAVE_RUN
    }

    private enum State { NEW, RECORDING, OUT, LOST, ASKED, OVER }

    private final Identity identity;
    private State state = State.NEW;
    private boolean whole;
    private Next end;
    private byte[] outcome;

    public Handover(Identity identity) {
        this.identity = identity;
    }

    public Identity identity() {
        return identity;
    }

    /** The answer, once it ran. */
    public byte[] outcome() {
        return outcome;
    }

    public boolean isOver() {
        return state == State.OVER;
    }

    /** Whether the far site may know more of it than we do. */
    public boolean isLost() {
        return state == State.LOST || state == State.ASKED;
    }

    public Next begin() {
        state = State.RECORDING;
        return Next.RECORD;
    }

    public Next intentSafe() {
        if (state != State.RECORDING) {
            return rest();
        }
        state = State.OUT;
        return Next.SEND;
    }

    public Next intentFailed() {
        return state == State.RECORDING ? over(Next.NEVER_RAN) : rest();
    }

    /** The last byte has been handed to the link's socket. From here on it may run. */
    public Next writtenWhole() {
        whole |= state == State.OUT;
        return rest();
    }

    /** The far site answered on the link that it went out on. */
    public Next answered(Told told) {
        if (state != State.OUT && state != State.ASKED) {
            return rest();
        }
        switch (told.kind()) {
            case RAN:
                outcome = told.outcome();
                return over(Next.RAN);
            case NEVER:
                return over(Next.NEVER_RAN);
            case UNKNOWN:
                return over(Next.MAY_HAVE_RUN);
            default:
                // At work: on its own link the answer will come by itself, otherwise it is asked for again.
                state = state == State.ASKED ? State.LOST : state;
                return Next.WAIT;
        }
    }

    /**
     * The link is gone, and no frame of it is taken any more. Broken before the last byte was written, the request
     * never ran: the far site passes a body on as it comes, and a node does nothing before it has all of it.
     */
    public Next broken() {
        switch (state) {
            case RECORDING:
                return over(Next.NEVER_RAN);
            case OUT:
                if (!whole) {
                    return over(Next.NEVER_RAN);
                }
                state = State.LOST;
                return Next.WAIT;
            case ASKED:
                state = State.LOST;
                return Next.WAIT;
            default:
                return rest();
        }
    }

    /** A link to the same site is up, or it is time to ask again. */
    public Next ask() {
        if (state != State.LOST) {
            return rest();
        }
        state = State.ASKED;
        return Next.ASK;
    }

    /**
     * Its time is over, or its client has gone: an attempt that is given up is one whose end is not known, unless
     * nothing of it can be at work. Who wants to know later asks under the same identity.
     */
    public Next giveUp() {
        return switch (state) {
            case NEW, RECORDING -> over(Next.NEVER_RAN);
            case OUT -> over(whole ? Next.MAY_HAVE_RUN : Next.NEVER_RAN);
            case LOST, ASKED -> over(Next.MAY_HAVE_RUN);
            case OVER -> end;
        };
    }

    private Next over(Next how) {
        state = State.OVER;
        end = how;
        return how;
    }

    /** What is said again to who asks when nothing changes. */
    private Next rest() {
        return state == State.OVER ? end : Next.WAIT;
    }
}
