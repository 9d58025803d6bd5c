package kelphollow.decision;

/** What the decision module wants done. Times are milliseconds on the host's clock. */
public sealed interface ControlAction {
    /** Calls the method of {@code handler} for this kind of action. */
    <E extends Exception> void accept(Handler<E> handler) throws E;

    /** Why a request got a final answer without being served. */
    enum Reason {
        /** Its class or plan is not known. */
        UNKNOWN_CLASS,
        /** Its volume's rate limit has its units too late for it. */
        RATE_LIMITED,
        /** It is a client's retry, and the node's retry budget is spent. */
        RETRY_BUDGET_EXHAUSTED,
        /** It would be served too late behind requests of a higher priority weight. */
        LOAD_SHED,
        /** No node could take it within the part of its time for which it may be queued. */
        NO_ENDPOINT_IN_TIME,
        /** Its deadline has passed, or this instance shuts down. */
        DEADLINE_EXCEEDED,
        /** Its last attempt ended without an answer, and it may not be retried. */
        NOT_RETRYABLE
    }

    /**
     * Send the next attempt of a request to a node.
     *
     * @param id the request
     * @param node where to
     * @param timeout how long to wait for an answer; 0: until the request's deadline
     * @param writeBy clock time by which writing must have begun; 0: no such bound
     */
    record SendAttempt(String id, String node, double timeout, double writeBy) implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.sendAttempt(this);
        }
    }

    /** Final answer: rejected. The client may safely retry, best after {@code retryAfter} (0: no advice). */
    record RejectRequest(String id, double retryAfter, Reason reason) implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.rejectRequest(this);
        }
    }

    /** Final answer: failed. The request may have been executed. */
    record FailRequest(String id, Reason reason) implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.failRequest(this);
        }
    }

    /** Stop waiting for an attempt. */
    record CancelAttempt(String id, int attempt) implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.cancelAttempt(this);
        }
    }

    /** Notify this instance by {@link ControlEvent.TimerFired} at a time. */
    record SetTimer(double at, String name) implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.setTimer(this);
        }
    }

    /** Poll the endpoint list and watch for later changes. */
    record PollEndpoints() implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.pollEndpoints(this);
        }
    }

    /**
     * One method for each kind of action, so that the compiler finds a kind that is not carried out.
     *
     * @param <E> what carrying out an action may throw
     */
    interface Handler<E extends Exception> {
        /** Handles {@link SendAttempt}. */
        void sendAttempt(SendAttempt action) throws E;

        /** Handles {@link RejectRequest}. */
        void rejectRequest(RejectRequest action) throws E;

        /** Handles {@link FailRequest}. */
        void failRequest(FailRequest action) throws E;

        /** Handles {@link CancelAttempt}. */
        void cancelAttempt(CancelAttempt action) throws E;

        /** Handles {@link SetTimer}. */
        void setTimer(SetTimer action) throws E;

        /** Handles {@link PollEndpoints}. */
        void pollEndpoints(PollEndpoints action) throws E;
    }
}
