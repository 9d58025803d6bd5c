package kelphollow.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * What the decision module is notified of. Times are milliseconds on the host's clock, work is in units.
 */
public sealed interface ControlEvent {
    /** Calls the method of {@code handler} for this kind of event. */
    void accept(Handler handler);

    /** State of a node by the endpoint list. */
    enum EndpointState {
        /** It accepts requests. */
        HEALTHY,
        /** It accepts nothing new. */
        DRAINING,
        /** The list names it no longer. */
        REMOVED
    }

    /**
     * One entry of the endpoint list.
     *
     * @param node unique id of the node
     * @param zone its availability zone; may be null
     * @param cell the cell whose data it holds
     * @param state its state by the list
     * @param startedAt clock time of its last start, 0 when long past
     */
    record Endpoint(String node, String zone, int cell, EndpointState state, double startedAt) {}

    /** How an attempt ended. */
    enum AttemptOutcome {
        /** The node answered with success. */
        SERVED,
        /** The node answered with an error. */
        ERROR,
        /** The node rejected the attempt because it was at its capacity. */
        AT_CAPACITY,
        /** No answer came in time. */
        TIMED_OUT,
        /** No connection came up. */
        CONNECT_FAILED,
        /** The connection broke while the attempt was in flight. */
        RESET,
        /** The attempt was cancelled by this instance. */
        CANCELLED,
        /** Nothing of the attempt was written. */
        NOT_SENT;

        /** Whether this outcome proves that the attempt was never executed. */
        public boolean provesNotExecuted() {
            return this == AT_CAPACITY || this == CONNECT_FAILED || this == NOT_SENT;
        }

        /** Whether a single lost answer or connection may explain this outcome: by itself it is no sign of a faulty node. */
        public boolean mayBeIsolated() {
            return this == TIMED_OUT || this == RESET;
        }
    }

    /**
     * The endpoint list was received.
     *
     * @param endpoints the entries
     * @param complete whether these are all entries, or changes only
     * @param cached whether this is a cached list rather than an answer of the service
     */
    record EndpointsReceived(List<Endpoint> endpoints, boolean complete, boolean cached) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointsReceived(this);
        }
    }

    /**
     * The settings were reloaded.
     *
     * @param classes the classes known from now on; requests under way keep the class they came with
     * @param maxAttempts attempts that a request may have, at least 1
     */
    record SettingsChanged(List<RequestClass> classes, int maxAttempts) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.settingsChanged(this);
        }
    }

    /** How a poll of the endpoint list failed. */
    enum EndpointPollFailure {
        /** An established watch has broken, or it is not known what failed. */
        WATCH_BROKEN,
        /** A call that was to begin a watch was refused or reset. */
        UNREACHABLE,
        /** A call that was to begin a watch reached its service, and nothing came back in time. */
        TIMED_OUT,
        /** The service answered that it would not serve the call that was to begin a watch. */
        REJECTED,
        /** The service is there, but its answer cannot be used. */
        INVALID_RESPONSE
    }

    /** A poll of the endpoint list failed, or the watch broke. */
    record EndpointPollFailed(EndpointPollFailure failure) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointPollFailed(this);
        }
    }

    /**
     * The lease on the endpoint list was renewed: nothing is sent after {@code validUntil} until the next such event. Where
     * none ever comes, the list has no such bound.
     */
    record EndpointLeaseRenewed(double validUntil) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointLeaseRenewed(this);
        }
    }

    /** This instance shuts down gracefully: what is open at {@code deadline} gets its final answer then. */
    record ShutdownStarted(double deadline) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.shutdownStarted(this);
        }
    }

    /**
     * The nodes that other instances found unresponsive, all of them each time: each gets only a health check's rate of
     * requests until it answers here, or until it is no longer named.
     */
    record NodesSuspected(Set<String> nodes) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.nodesSuspected(this);
        }
    }

    /**
     * Retries at a node make up at most {@code share} of the first attempts that went there within {@code window}; a request
     * that finds the budget spent gets its final answer at once. Retries that clients mark count like others. The budgets of
     * several instances add up. A window of 0: no bound.
     */
    record RetryBudgetChanged(double share, double window) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.retryBudgetChanged(this);
        }
    }

    /** The endpoint list comes from another service from now on. */
    record EndpointSourceChanged() implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointSourceChanged(this);
        }
    }

    /**
     * What an earlier process has left of volumes' limits.
     *
     * @param tokens by volume: units that this instance's share of the limit starts with
     */
    record LimitsRestored(Map<String, Double> tokens) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.limitsRestored(this);
        }
    }

    /**
     * A request has arrived.
     *
     * @param id unique among the open requests
     * @param requestClass name of its class
     * @param plan name of its volume's plan
     * @param key idempotency or ordering key; may be null
     * @param deadline clock time by which it needs its final answer
     * @param volume its volume; may be null
     * @param units its size
     * @param cell where its data lies, negative for a new object
     * @param instances number of instances over which its volume is spread
     * @param isRetry whether its client marks it as a retry of its own
     */
    record RequestArrived(String id, String requestClass, String plan, String key, double deadline, String volume,
                          double units, int cell, int instances, boolean isRetry) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.requestArrived(this);
        }

        /** A request that is not marked as a retry. */
        public RequestArrived(String id, String requestClass, String plan, String key, double deadline, String volume,
            double units, int cell, int instances) {
            this(id, requestClass, plan, key, deadline, volume, units, cell, instances, false);
        }
    }

    /** The client has disconnected or cancelled; no answer is owed any more. */
    record ClientDisconnected(String id) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.clientDisconnected(this);
        }
    }

    /** A streamed response has started; the request has no deadline from here on. */
    record ResponseStarted(String id, int attempt) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.responseStarted(this);
        }
    }

    /** A body makes progress to or from the node: the node is alive, however long the whole transfer may last. */
    record AttemptProgressed(String id, int attempt) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.attemptProgressed(this);
        }
    }

    /**
     * An attempt ended.
     *
     * @param id the request
     * @param attempt number of the attempt, from 0
     * @param node the node it went to
     * @param outcome how it ended
     * @param latency time from the sending of the attempt to its answer
     * @param requestFinished whether the request has had its final answer with it
     * @param bodyConsumed whether the request's body is used up, so that it cannot be sent again
     * @param unitsElsewhere units that the node has served for the volume through other instances since its last answer
     * @param usagePercent use of the volume over all instances in percent of its plan's rate, negative when unknown
     * @param loadReport the node's load report, or empty
     */
    record AttemptEnded(String id, int attempt, String node, AttemptOutcome outcome, double latency, boolean requestFinished,
                        boolean bodyConsumed, double unitsElsewhere, double usagePercent,
                        Map<String, Double> loadReport) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.attemptEnded(this);
        }
    }

    /** A timer that was set by {@link ControlAction.SetTimer} is due. */
    record TimerFired(String name) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.timerFired(this);
        }
    }

    /**
     * One method for each kind of event, so that the compiler finds a kind that is not handled.
     */
    interface Handler {
        /** Handles {@link EndpointsReceived}. */
        void endpointsReceived(EndpointsReceived event);

        /** Handles {@link SettingsChanged}. */
        void settingsChanged(SettingsChanged event);

        /** Handles {@link EndpointPollFailed}. */
        void endpointPollFailed(EndpointPollFailed event);

        /** Handles {@link EndpointLeaseRenewed}. */
        void endpointLeaseRenewed(EndpointLeaseRenewed event);

        /** Handles {@link ShutdownStarted}. */
        void shutdownStarted(ShutdownStarted event);

        /** Handles {@link NodesSuspected}. */
        void nodesSuspected(NodesSuspected event);

        /** Handles {@link RetryBudgetChanged}. */
        void retryBudgetChanged(RetryBudgetChanged event);

        /** Handles {@link EndpointSourceChanged}. */
        void endpointSourceChanged(EndpointSourceChanged event);

        /** Handles {@link LimitsRestored}. */
        void limitsRestored(LimitsRestored event);

        /** Handles {@link RequestArrived}. */
        void requestArrived(RequestArrived event);

        /** Handles {@link ClientDisconnected}. */
        void clientDisconnected(ClientDisconnected event);

        /** Handles {@link ResponseStarted}. */
        void responseStarted(ResponseStarted event);

        /** Handles {@link AttemptProgressed}. */
        void attemptProgressed(AttemptProgressed event);

        /** Handles {@link AttemptEnded}. */
        void attemptEnded(AttemptEnded event);

        /** Handles {@link TimerFired}. */
        void timerFired(TimerFired event);
    }
}
