package kelphollow.decision;

/**
 * Arrival-curve tags after pClock (Gulati, Merchant and Varman, "pClock: an arrival curve based approach for
 * QoS guarantees in shared storage systems", SIGMETRICS 2007). A flow is a {@link Volume}; its curve has the
 * rate rho and the depth sigma, its delay bound is the request's latency objective. Times are milliseconds,
 * rates units a second. Confined to the thread that drives {@link Control}.
 */
final class ArrivalCurveTagger {
    private static final double MS_PER_SECOND = 1000;

    private final DecisionContext context;
    private final VolumeTable volumes;
    private final PendingQueues queues;

    ArrivalCurveTagger(DecisionContext context, VolumeTable volumes, PendingQueues queues) {
        this.context = context;
        this.volumes = volumes;
        this.queues = queues;
    }

    /** Tags a request at its arrival. */
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
        v.tagged.add(request);
    }

    /**
     * ComputeTags: a request within the curve starts now. Beyond it, start tag = max(MaxS, t), and the next
     * one may start when the curve has gained this request's units: MaxS = start tag + units / rho.
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
     * AdjustTags: when MinS of every backlogged flow lies ahead of the clock, all their tags move back by the
     * smallest gap. All requests on time move alike, so their order in the queues stands.
     */
    private void adjustTags() {
        double gap = Double.POSITIVE_INFINITY;
        for (Volume v : volumes.all()) {
            if (!v.tagged.isEmpty()) {
                gap = Math.min(gap, v.minS - context.now());
            }
        }
        if (gap <= 0 || gap == Double.POSITIVE_INFINITY) {
            return;
        }
        for (Volume v : volumes.all()) {
            if (!v.tagged.isEmpty()) {
                shiftBack(v, gap);
            }
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

    /** A request that left its queue to be sent moves MinS up to its own start tag. */
    void sent(PendingRequest request) {
        if (!request.late) {
            request.volume.minS = request.startTag;
        }
        request.volume.tagged.remove(request);
    }

    /** A request that was sent is queued again on time: it is back among the tags that shift together. */
    void requeued(PendingRequest request) {
        request.volume.tagged.add(request);
    }

    /**
     * Exception to pClock: a request that leaves the order of the tags unserved returns its tokens, and the
     * later ones of its flow move up by what it had added to MaxS. Otherwise the given-up requests of a surge
     * keep MaxS ahead of the clock, and what arrives within the curve misses its objective too.
     */
    void returnTokens(PendingRequest request) {
        Volume v = request.volume;
        v.tagged.remove(request);
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
