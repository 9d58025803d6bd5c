package kelphollow.decision;

import java.util.Random;
import kelphollow.decision.ControlSettings.Rules;

/**
 * What all parts of one instance of the module share. Confined to the thread that drives {@link Control}.
 *
 * @param settings what the instance was configured with
 * @param shortestObjective the smallest latency objective of the configured classes, milliseconds
 * @param startedAt clock time of the instance's start
 * @param clock the time
 * @param random the source of all random draws but those of the endpoint poll's schedule
 */
record DecisionContext(ControlSettings settings, double shortestObjective, double startedAt,
                       DecisionClock clock, Random random) {
    double now() {
        return clock.now();
    }

    /** Granularity of the host's timers, milliseconds. */
    double tick() {
        return settings.tick();
    }

    Rules rules() {
        return settings.rules();
    }
}
