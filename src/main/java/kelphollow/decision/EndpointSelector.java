package kelphollow.decision;

/** Chooses the node for a new object, which may be stored on any node. */
final class EndpointSelector {
    private final SchedulerState state;

    EndpointSelector(SchedulerState state) {
        this.state = state;
    }

    /**
     * Returns the node with the shortest expected wait, or null if no node may take the object. The wait is
     * the node's expected latency times one plus the number of requests that this instance has in flight or
     * queued there.
     */
    Node bestFor(PendingRequest request) {
        Node best = null;
        double shortest = Double.POSITIVE_INFINITY;
        for (Node node : state.nodes.all()) {
            if (node.acceptsNewObjects() && node.hasCapacityFor(request)) {
                PendingQueue queue = state.queues.ofCell(node.cell);
                int ahead = node.inFlight() + (queue == null ? 0 : queue.onTime.size());
                double wait = node.latency.expected() * (1 + ahead);
                if (wait < shortest) {
                    shortest = wait;
                    best = node;
                }
            }
        }
        return best;
    }
}
