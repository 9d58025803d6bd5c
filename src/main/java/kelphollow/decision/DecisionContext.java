package kelphollow.decision;

import java.util.Random;
import kelphollow.decision.ControlSettings.Rules;

/**
 * Settings, clock and randomness shared by all components of one {@link Control}. Confined to the thread that
 * drives it.
 *
 * @param settings configuration of the instance
 * @param shortestObjective smallest latency objective of the configured classes, in milliseconds
 * @param startedAt clock time of the instance's start
 * @param clock current time
 * @param random source of all random draws except those of {@link EndpointPollSchedule}
 */
record DecisionContext(ControlSettings settings, double shortestObjective, double startedAt,
                       DecisionClock clock, Random random) {
    double now() {
        return clock.now();
    }

    /** Granularity of the caller's timers, in milliseconds. */
    double tick() {
        return settings.tick();
    }

    Rules rules() {
        return settings.rules();
    }
}
