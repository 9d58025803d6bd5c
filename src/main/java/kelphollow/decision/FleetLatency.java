package kelphollow.decision;

/**
 * The latency over all nodes of late, in milliseconds. Confined to the thread that drives {@link Control}.
 */
final class FleetLatency {
    /** The first guess is the shortest latency objective divided by this. */
    private static final double OBJECTIVE_TO_GUESS = 3;

    private final DecisionContext context;
    private final FadingLatency recent;

    FleetLatency(DecisionContext context) {
        this.context = context;
        recent = new FadingLatency(guess(), context.now());
    }

    void served(double latency) {
        recent.add(latency, context.now());
    }

    /** What was last seen, fading into a guess while nothing is heard. */
    double current() {
        return recent.fadedInto(guess(), context.now());
    }

    private double guess() {
        return context.shortestObjective() / OBJECTIVE_TO_GUESS;
    }
}
