package kelphollow.decision;

/**
 * The latency over all nodes of late, in milliseconds. Confined to the thread that drives {@link Control}.
 */
final class FleetLatency {
    /** The first guess is the shortest latency objective divided by this. */
    private static final double OBJECTIVE_TO_GUESS = 3;

    private final DecisionContext context;
    private final DecayingLatency recent;

    FleetLatency(DecisionContext context) {
        this.context = context;
        recent = new DecayingLatency(guess(), context.now());
    }

    void served(double latency) {
        recent.add(latency, context.now());
    }

    /** The latest average, decaying into a guess while no answer comes. */
    double current() {
        return recent.decayedInto(guess(), context.now());
    }

    private double guess() {
        return context.shortestObjective() / OBJECTIVE_TO_GUESS;
    }
}
