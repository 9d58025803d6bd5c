package kelphollow.decision;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Assigns arrival-curve tags as in pClock (Gulati, Merchant and Varman, "pClock: an arrival curve based
 * approach for QoS guarantees in shared storage systems", SIGMETRICS 2007). A flow is a {@link Volume}; its
 * curve has the rate rho and the depth sigma, and its delay bound is the request's latency objective. Times
 * are in milliseconds, rates in units per second. Confined to the thread that drives {@link Control}.
 */
final class ArrivalCurveTagger {
    private static final double MS_PER_SECOND = 1000;

    private final DecisionContext context;
    private final PendingQueues queues;
    /** Volumes with tagged requests: the backlogged flows. */
    private final Set<Volume> backlogged = new LinkedHashSet<>();

    ArrivalCurveTagger(DecisionContext context, PendingQueues queues) {
        this.context = context;
        this.queues = queues;
    }

    /** Sets the start and finish tags of a request at its arrival. */
    void tag(PendingRequest request) {
        double now = context.now();
        Volume v = request.volume;
        double rho = v.rho();
        // UpdateNumTokens: numTokens = min(sigma, numTokens + (t - last arrival) * rho)
        v.numTokens = Math.min(v.sigma(), v.numTokens + (now - v.lastArrivalAt) / MS_PER_SECOND * rho);
        v.lastArrivalAt = now;
        adjustTags();
        assignStartTag(request, rho);
        v.numTokens -= request.units();
        request.tokensSpent = true;
        // Finish tag = start tag + delay bound
        request.finishTag = request.startTag + request.requestClass.latencyObjective();
        if (v.tagged.isEmpty()) {
            v.minS = request.startTag;
        }
        addTagged(request);
    }

    private void addTagged(PendingRequest request) {
        request.volume.tagged.add(request);
        backlogged.add(request.volume);
    }

    private void removeTagged(PendingRequest request) {
        request.volume.tagged.remove(request);
        if (request.volume.tagged.isEmpty()) {
            backlogged.remove(request.volume);
        }
    }

    /**
     * ComputeTags: a request within the curve gets start tag = t. Beyond the curve, start tag = max(MaxS, t),
     * and the next request may start once the curve has gained this request's units:
     * MaxS = start tag + units / rho.
     */
    private void assignStartTag(PendingRequest request, double rho) {
        double now = context.now();
        Volume v = request.volume;
        if (v.numTokens >= 1) {
            request.startTag = now;
        } else {
            request.startTag = Math.max(v.maxS, now);
            v.maxS = request.startTag + request.units() / rho * MS_PER_SECOND;
        }
    }

    /**
     * AdjustTags: when MinS of every backlogged flow is later than the clock, subtracts the smallest
     * difference from all tags of these flows. All requests that are not late shift by the same amount, so
     * the queues stay sorted.
     */
    private void adjustTags() {
        double gap = Double.POSITIVE_INFINITY;
        for (Volume v : backlogged) {
            gap = Math.min(gap, v.minS - context.now());
        }
        if (gap <= 0 || gap == Double.POSITIVE_INFINITY) {
            return;
        }
        for (Volume v : backlogged) {
            shiftBack(v, gap);
        }
    }

    private static void shiftBack(Volume v, double gap) {
        v.minS -= gap;
        v.maxS -= gap;
        for (PendingRequest request : v.tagged) {
            request.startTag -= gap;
            request.finishTag -= gap;
        }
    }

    /** Raises MinS to the start tag of a request that was taken from its queue and sent. */
    void sent(PendingRequest request) {
        if (!request.late) {
            request.volume.minS = request.startTag;
        }
        removeTagged(request);
    }

    /** Makes a request that is queued for a retry and not late subject to tag adjustment again. */
    void requeued(PendingRequest request) {
        addTagged(request);
    }

    /**
     * Exception to pClock: a request that leaves the tag order without being served returns its tokens, and
     * the start tags of later requests of its flow move earlier by what it had added to MaxS. Otherwise the
     * abandoned requests of a burst keep MaxS ahead of the clock, and later requests within the curve miss
     * their objective too.
     */
    void returnTokens(PendingRequest request) {
        Volume v = request.volume;
        removeTagged(request);
        if (!request.tokensSpent) {
            return;
        }
        request.tokensSpent = false;
        v.numTokens += request.units();
        double step = request.units() / v.rho() * MS_PER_SECOND;
        v.maxS -= step;
        for (PendingRequest later : v.tagged) {
            if (later.sequence > request.sequence && later.startTag > later.arrivedAt) {
                PendingQueue queue = queues.of(later);
                queue.remove(later);
                later.startTag = Math.max(later.arrivedAt, later.startTag - step);
                later.finishTag = later.startTag + later.requestClass.latencyObjective();
                queue.add(later);
            }
        }
        if (!v.tagged.isEmpty()) {
            v.minS = Math.min(v.minS, v.tagged.peek().startTag);
        }
    }
}
