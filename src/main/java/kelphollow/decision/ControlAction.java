package kelphollow.decision;

/** An action that {@link Control} requests from its caller. Times are milliseconds on the caller's clock. */
public sealed interface ControlAction {
    /** Calls the method of {@code handler} for this type of action. */
    <E extends Exception> void accept(Handler<E> handler) throws E;

    /** Why a request got a final answer without being served. */
    enum Reason {
        /** Its class or plan is not known. */
        UNKNOWN_CLASS,
        /** Its volume's rate limit grants its units only after its latency objective. */
        RATE_LIMITED,
        /** It is a client's retry, and the node's retry budget is spent. */
        RETRY_BUDGET_EXHAUSTED,
        /** It would be served too late, behind requests with a higher priority weight. */
        LOAD_SHED,
        /** No node accepted it within the time for which it may be queued. */
        NO_ENDPOINT_IN_TIME,
        /** Its deadline has passed, or this instance is shutting down. */
        DEADLINE_EXCEEDED,
        /** Its last attempt ended without an answer, and it may not be retried. */
        NOT_RETRYABLE
    }

    /**
     * Send the next attempt of a request to a node.
     *
     * @param id id of the request
     * @param node id of the node
     * @param timeout how long to wait for an answer; 0: until the request's deadline
     * @param writeBy clock time by which writing must have begun; 0: no bound
     */
    record SendAttempt(String id, String node, double timeout, double writeBy) implements ControlAction {
        @Override public <E extends Exception> void accept(Handler<E> handler) throws E {
            handler.sendAttempt(this);
        }
    }

    /** Final answer: rejected. The client may safely retry after {@code retryAfter} (0: no recommended delay). */
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

    /** Deliver {@link ControlEvent.TimerFired} with this name at time {@code at}. */
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
     * Executes actions. It has one method per type, so that a type without an implementation is a compile error.
     *
     * @param <E> exception that executing an action may throw
     */
    interface Handler<E extends Exception> {
        /** Executes {@link SendAttempt}. */
        void sendAttempt(SendAttempt action) throws E;

        /** Executes {@link RejectRequest}. */
        void rejectRequest(RejectRequest action) throws E;

        /** Executes {@link FailRequest}. */
        void failRequest(FailRequest action) throws E;

        /** Executes {@link CancelAttempt}. */
        void cancelAttempt(CancelAttempt action) throws E;

        /** Executes {@link SetTimer}. */
        void setTimer(SetTimer action) throws E;

        /** Executes {@link PollEndpoints}. */
        void pollEndpoints(PollEndpoints action) throws E;
    }
}
