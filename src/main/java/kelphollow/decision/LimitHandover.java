package kelphollow.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlAction.Reason;

/**
 * Hands this instance's share of the rate limits over to the process that replaces it. Only one of the two
 * processes of an upgrade may own a token: this one keeps those of queued requests for which there are
 * enough, and the next one gets the others and all that is refilled from then on. Confined to the thread
 * that drives {@link Control}.
 */
final class LimitHandover {
    private final SchedulerState state;
    private final FinalAnswers answers;

    LimitHandover(SchedulerState state, FinalAnswers answers) {
        this.state = state;
        this.answers = answers;
    }

    /**
     * Keeps tokens for the oldest queued requests, rejects the other ones of limited volumes, and gives up
     * the limits.
     */
    void handOver() {
        Map<Volume, Double> kept = new HashMap<>();
        for (PendingRequest request : List.copyOf(state.requests.all())) {
            Volume volume = request.volume;
            if (request.attempts > 0 || volume.plan.limitRate() <= 0) {
                continue;
            }
            double keptWithRequest = kept.getOrDefault(volume, 0.0) + request.units();
            if (keptWithRequest <= volume.limiter.tokensNetOfBorrowed(state.now())) {
                kept.put(volume, keptWithRequest);
            } else {
                answers.answer(request, Reason.RATE_LIMITED);
            }
        }
        state.volumes.handOver(kept);
    }
}
