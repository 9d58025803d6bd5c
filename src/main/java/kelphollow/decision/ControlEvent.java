package kelphollow.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * An event that {@link Control} is notified of. Times are milliseconds on the caller's clock, work is in units.
 */
public sealed interface ControlEvent {
    /** Calls the method of {@code handler} for this type of event. */
    void accept(Handler handler);

    /** State of a node in the endpoint list. */
    enum EndpointState {
        /** The node accepts new requests. */
        HEALTHY,
        /** The node accepts no new requests. */
        DRAINING,
        /** The node is no longer in the list. */
        REMOVED
    }

    /**
     * One entry of the endpoint list.
     *
     * @param node unique id of the node
     * @param zone its availability zone; may be null
     * @param cell the cell whose data the node stores
     * @param state state of the node
     * @param startedAt clock time of its last start; 0 if that was long ago
     */
    record Endpoint(String node, String zone, int cell, EndpointState state, double startedAt) {}

    /** How an attempt ended. */
    enum AttemptOutcome {
        /** The node answered with success. */
        SERVED,
        /** The node answered with an error. */
        ERROR,
        /** The node rejected the attempt because it was at capacity. */
        AT_CAPACITY,
        /** No answer came in time. */
        TIMED_OUT,
        /** No connection could be established. */
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

        /** Whether one lost answer or connection may explain this outcome; alone it is no evidence of a faulty node. */
        public boolean mayBeIsolated() {
            return this == TIMED_OUT || this == RESET;
        }
    }

    /**
     * The endpoint list was received.
     *
     * @param endpoints the entries
     * @param complete true for the complete list, false for changes only
     * @param cached whether the list comes from a cache rather than from the service
     */
    record EndpointsReceived(List<Endpoint> endpoints, boolean complete, boolean cached) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointsReceived(this);
        }
    }

    /**
     * The settings were reloaded.
     *
     * @param classes the classes of new requests; open requests keep the class that they arrived with
     * @param maxAttempts attempts that a request may have, at least 1
     */
    record SettingsChanged(List<RequestClass> classes, int maxAttempts) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.settingsChanged(this);
        }
    }

    /** How a poll of the endpoint list failed. */
    enum EndpointPollFailure {
        /** An established watch broke, or the cause is unknown. */
        WATCH_BROKEN,
        /** The connection for the call that starts a watch was refused or reset. */
        UNREACHABLE,
        /** The call that starts a watch reached the service, but no response arrived in time. */
        TIMED_OUT,
        /** The service rejected the call that starts a watch. */
        REJECTED,
        /** The service responded, but the response cannot be used. */
        INVALID_RESPONSE
    }

    /** A poll of the endpoint list failed, or the watch broke. */
    record EndpointPollFailed(EndpointPollFailure failure) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointPollFailed(this);
        }
    }

    /**
     * The lease on the endpoint list was renewed: nothing is sent after {@code validUntil} until the next renewal. Without
     * any such event the list never expires.
     */
    record EndpointLeaseRenewed(double validUntil) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointLeaseRenewed(this);
        }
    }

    /** This instance shuts down gracefully: requests still open at {@code deadline} get their final answer then. */
    record ShutdownStarted(double deadline) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.shutdownStarted(this);
        }
    }

    /**
     * The complete set of nodes that other instances currently find unresponsive. Each of them gets requests only at the
     * probe rate until it answers this instance or is no longer in the set.
     */
    record NodesSuspected(Set<String> nodes) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.nodesSuspected(this);
        }
    }

    /**
     * The retry budget was set: retries sent to a node are at most {@code share} of the first attempts sent to it within
     * {@code window}. A request whose retry exceeds the budget gets its final answer at once. Requests that clients mark as
     * retries count as retries. Each instance has its own budget, so the budgets add up. A window of 0 means no bound.
     */
    record RetryBudgetChanged(double share, double window) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.retryBudgetChanged(this);
        }
    }

    /** The service that provides the endpoint list was replaced by another one. */
    record EndpointSourceChanged() implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.endpointSourceChanged(this);
        }
    }

    /**
     * The rate limits' remaining tokens were restored from an earlier process.
     *
     * @param tokens by volume: units that this instance's share of the limit starts with
     */
    record LimitsRestored(Map<String, Double> tokens) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.limitsRestored(this);
        }
    }

    /**
     * This process sends from now on in place of another one of the same instance. What that one has sent to nodes in slow
     * start counts within the same quota and is unknown, so they get nothing until it no longer counts.
     */
    record PredecessorReplaced() implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.predecessorReplaced(this);
        }
    }

    /**
     * An earlier process that this one replaces has ended without handing over its rate limits. What it spent is unknown, so
     * the limits refill from now on only.
     */
    record LimitsNotHandedOver() implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.limitsNotHandedOver(this);
        }
    }

    /**
     * This process hands its rate limits over to the process that replaces it. It keeps the tokens of queued requests that
     * it can still send; everything else of a limited volume is rejected from now on, and nodes in slow start get nothing.
     */
    record LimitsHandedOver() implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.limitsHandedOver(this);
        }
    }

    /**
     * A request has arrived.
     *
     * @param id unique among the open requests
     * @param requestClass name of the request's class
     * @param plan name of its volume's plan
     * @param key idempotency or ordering key; may be null
     * @param deadline clock time by which the request needs its final answer
     * @param volume name of the volume; may be null
     * @param units size of the request
     * @param cell cell that stores the data; negative for a new object
     * @param instances number of instances that serve the volume
     * @param isRetry whether the client marks the request as a retry
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

    /** The client has disconnected or cancelled the request; it gets no answer. */
    record ClientDisconnected(String id) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.clientDisconnected(this);
        }
    }

    /** A streamed response has started; the request has no deadline from now on. */
    record ResponseStarted(String id, int attempt) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.responseStarted(this);
        }
    }

    /** Body bytes were transferred to or from the node: the node is alive, however long the whole transfer takes. */
    record AttemptProgressed(String id, int attempt) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.attemptProgressed(this);
        }
    }

    /**
     * An attempt ended.
     *
     * @param id id of the request
     * @param attempt number of the attempt, from 0
     * @param node id of the node that the attempt was sent to
     * @param outcome how the attempt ended
     * @param latency time from the sending of the attempt to its answer
     * @param requestFinished whether the client has received its final answer with this attempt
     * @param unrepeatable whether the request must not be sent again: its body has been consumed, or its client may have
     *     disconnected
     * @param unitsElsewhere units that the node has served for the volume through other instances since its last answer
     * @param usagePercent usage of the volume over all instances, in percent of its plan's rate; negative if unknown
     * @param loadReport the node's load report, or empty
     */
    record AttemptEnded(String id, int attempt, String node, AttemptOutcome outcome, double latency, boolean requestFinished,
                        boolean unrepeatable, double unitsElsewhere, double usagePercent,
                        Map<String, Double> loadReport) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.attemptEnded(this);
        }
    }

    /** A timer set by {@link ControlAction.SetTimer} has fired. */
    record TimerFired(String name) implements ControlEvent {
        @Override public void accept(Handler handler) {
            handler.timerFired(this);
        }
    }

    /**
     * Handles events. It has one method per type, so that a type without an implementation is a compile error.
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

        /** Handles {@link PredecessorReplaced}. */
        void predecessorReplaced(PredecessorReplaced event);

        /** Handles {@link LimitsNotHandedOver}. */
        void limitsNotHandedOver(LimitsNotHandedOver event);

        /** Handles {@link LimitsHandedOver}. */
        void limitsHandedOver(LimitsHandedOver event);

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
