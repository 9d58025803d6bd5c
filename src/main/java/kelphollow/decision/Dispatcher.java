package kelphollow.decision;

import java.util.SortedSet;
import kelphollow.decision.ControlAction.SendAttempt;

/**
 * Sends the queued requests that may be sent now: at each node in order of their finish tags, new objects to
 * the node with the shortest expected wait.
 */
final class Dispatcher {
    private final SchedulerState state;
    private final QueueShedder shedder;
    private final EndpointSelector selector;

    Dispatcher(SchedulerState state, QueueShedder shedder) {
        this.state = state;
        this.shedder = shedder;
        this.selector = new EndpointSelector(state);
    }

    /** Sends requests to each node until it has no more capacity or nothing may be sent to it. */
    void dispatch() {
        PendingQueue newObjects = state.queues.ofCell(PendingQueues.NEW_OBJECTS);
        for (Node node : state.nodes.all()) {
            PendingQueue own = state.queues.ofCell(node.cell);
            boolean takesNewObjects = hasAny(newObjects) && node.acceptsNewObjects();
            if (own != null && own.onTime.size() > 1 && node.hasCapacity()) {
                shedder.shed(own, node);
            }
            if (node.isEligible()) {
                dispatchTo(node, own, takesNewObjects ? newObjects : null);
            }
        }
    }

    private static boolean hasAny(PendingQueue queue) {
        return queue != null && queue.size() > 0;
    }

    /** Sends requests of both queues to a node; either queue may be null. */
    private void dispatchTo(Node node, PendingQueue own, PendingQueue newObjects) {
        while (hasAny(own) || hasAny(newObjects)) {
            PendingRequest next = next(node, own, newObjects);
            if (next == null) {
                return;
            }
            send(next, node);
        }
    }

    private PendingRequest next(Node node, PendingQueue own, PendingQueue newObjects) {
        PendingRequest next = own == null ? null : first(own.onTime, node);
        if (newObjects != null) {
            PendingRequest other = first(newObjects.onTime, node);
            boolean earlier = other != null && (next == null || other.finishTag < next.finishTag);
            if (earlier && selector.bestFor(other) == node) {
                next = other;
            }
        }
        if (next == null && own != null) {
            next = first(own.late, node);
        }
        if (next == null && newObjects != null) {
            next = first(newObjects.late, node);
        }
        return next;
    }

    /** The first request in tag order that may be sent to a node now; null if there is none. */
    private PendingRequest first(SortedSet<PendingRequest> queue, Node node) {
        if (!node.hasCapacity()) {
            return null;
        }
        for (PendingRequest request : queue) {
            if (!node.isUnderPressure(request) && (canBeAnsweredInTime(request, node) || node.isIdle())
                && node.hasCapacityFor(request) && maySend(request, node)) {
                return request;
            }
        }
        return null;
    }

    /**
     * Whether the expected answer is in time: within the latency objective or, for a request that is not
     * late, by the time of its final answer.
     */
    private boolean canBeAnsweredInTime(PendingRequest request, Node node) {
        double answeredAt = state.now() + node.latency.expected(request.units());
        return answeredAt <= request.objectiveAt || !request.late && answeredAt <= request.answerAt;
    }

    /**
     * Whether backoff, key order, rate limit, retry budget and retry safety allow sending a request to a
     * node.
     */
    private boolean maySend(PendingRequest request, Node node) {
        double now = state.now();
        if (now < request.retryAt || !state.keyOrders.mayBeSent(request)) {
            return false;
        }
        if (request.attempts == 0 && !request.volume.limiter.allows(request.units(), now)) {
            return false;
        }
        return state.retries.budgetsAllow(request, node) && state.retries.isSafeAt(request, node);
    }

    private void send(PendingRequest request, Node node) {
        state.queues.of(request).remove(request);
        state.tagger.sent(request);
        if (!request.late) {
            request.volume.consumeReserve(request.units());
        }
        state.retries.sent(request, node);
        if (request.attempts == 0) {
            request.volume.limiter.consume(request.units());
        }
        double timeout = state.retries.attemptTimeout(request, node);
        String key = InFlightAttempt.key(request.id(), request.attempts);
        request.inFlight = node.send(key, request);
        state.requests.addAttempt(key, request.inFlight);
        state.keyOrders.sent(request);
        request.attempts++;
        state.actions.add(new SendAttempt(request.id(), node.id, timeout, state.retries.writeBy(request)));
    }
}
