package kelphollow.decision;

/** Chooses the node for a new object, which any node could take. */
final class EndpointSelector {
    private final SchedulerState state;

    EndpointSelector(SchedulerState state) {
        this.state = state;
    }

    /**
     * The node where the object waits least: expected latency by what this instance has there already; or
     * null.
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
