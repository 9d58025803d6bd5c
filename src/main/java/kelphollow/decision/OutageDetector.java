package kelphollow.decision;

import kelphollow.decision.ControlEvent.EndpointPollFailure;

/**
 * Decides by failed calls whether the service that provides the endpoint list is down. Times are
 * milliseconds. Constant memory. Not thread-safe. Callers pass the time.
 */
final class OutageDetector {
    /** Consecutive failures after which an instance that has just started takes the service as down. */
    static final int FAILURES_AT_START = 2;
    /**
     * Duration of the burst of calls after a start of all instances, as a multiple of the time over which
     * their first calls are spread.
     */
    static final double SPREADS_PER_STARTUP_BURST = 2;
    /** Upper bound of the assumed duration of a startup burst. */
    static final double MAX_STARTUP_BURST_MS = 30_000;

    private final boolean pushed;
    private final double startupBurst;
    private int failures;
    private double firstFailureAt;

    private OutageDetector(boolean pushed, double startupBurst) {
        this.pushed = pushed;
        this.startupBurst = startupBurst;
    }

    /** For a service that this many instances poll, which determines the duration of a startup burst. */
    static OutageDetector polled(int instances) {
        double burst = SPREADS_PER_STARTUP_BURST * instances * EndpointPollSchedule.SPREAD_PER_INSTANCE_MS;
        return new OutageDetector(false, Math.min(MAX_STARTUP_BURST_MS, burst));
    }

    /** For an agent on the same machine, which is silent only while its service is down. */
    static OutageDetector pushed() {
        return new OutageDetector(true, 0);
    }

    /** The service has responded, or was replaced by another one. */
    void reset() {
        failures = 0;
    }

    /** Whether the failure of a call shows that the service was down then; if so, it is counted. */
    boolean isEvidence(EndpointPollFailure failure, double calledAt, double duration) {
        if (!showsServiceDown(failure, duration)) {
            failures = failure == EndpointPollFailure.WATCH_BROKEN ? failures : 0;
            return false;
        }
        firstFailureAt = failures == 0 ? calledAt : firstFailureAt;
        failures++;
        return true;
    }

    /** Whether the failures since the start show an outage, rather than an overload by other starts. */
    boolean isDownAtStart(EndpointPollFailure failure, double now) {
        if (pushed && failure == EndpointPollFailure.UNREACHABLE) {
            return true;
        }
        return failures >= FAILURES_AT_START && now - firstFailureAt >= startupBurst;
    }

    /**
     * Whether a failure shows that the service is down: the call that starts a watch was refused, reset, or
     * rejected after it had been queued; or it timed out, if the list is pushed. For a polled list a timeout
     * counts as a broken watch, and a call that is rejected immediately has found a full queue: the service
     * is up, and its changes count as notified.
     */
    private boolean showsServiceDown(EndpointPollFailure failure, double duration) {
        return switch (failure) {
            case UNREACHABLE -> true;
            case TIMED_OUT -> pushed;
            case REJECTED -> duration >= EndpointPollSchedule.IMMEDIATE_REJECTION_MS;
            case WATCH_BROKEN, INVALID_RESPONSE -> false;
        };
    }
}
