package kelphollow.decision;

/**
 * Recent average latency over all nodes, in milliseconds. Confined to the thread that drives {@link Control}.
 */
final class FleetLatency {
    /** The initial estimate is the shortest latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 3;

    private final DecisionContext context;
    private final DecayingLatency recent;

    FleetLatency(DecisionContext context) {
        this.context = context;
        recent = new DecayingLatency(initialEstimate(), context.now());
    }

    void served(double latency) {
        recent.add(latency, context.now());
    }

    /** The current average; without new answers it decays toward the initial estimate. */
    double current() {
        return recent.decayedToward(initialEstimate(), context.now());
    }

    private double initialEstimate() {
        return context.shortestObjective() / OBJECTIVE_DIVISOR;
    }
}
