package kelphollow.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import kelphollow.decision.ControlAction.Reason;

/**
 * Load shedding: an exception to pClock that acts only where a node cannot meet the latency objectives of all
 * that is queued for it. Guards against an overload in which the oldest requests go first and every one comes
 * late.
 */
final class QueueShedder {
    private static final Comparator<PendingRequest> LEAST_VALUABLE_FIRST = Comparator
        .<PendingRequest>comparingDouble(r -> r.sheddingWeight).thenComparingLong(r -> -r.sequence);

    private final SchedulerState state;
    private final FinalAnswers answers;
    private long passes;

    QueueShedder(SchedulerState state, FinalAnswers answers) {
        this.state = state;
        this.answers = answers;
    }

    /**
     * In the order of the tags, each request that would come too late makes the least valuable one so far,
     * itself included, wait behind the others.
     */
    void shed(PendingQueue queue, Node node) {
        double now = state.now();
        double meanUnits = state.context.settings().meanUnits();
        double msPerUnit = node.latency.expected() / (node.window.size() * meanUnits);
        double readyAt = now;
        passes++;
        PriorityQueue<PendingRequest> kept = new PriorityQueue<>(LEAST_VALUABLE_FIRST);
        List<PendingRequest> shed = new ArrayList<>();
        for (PendingRequest request : queue.onTime) {
            request.sheddingWeight = weight(request);
            kept.add(request);
            if (readyAt + node.latency.expected(request.units()) > request.objectiveAt) {
                PendingRequest least = kept.poll();
                shed.add(least);
                readyAt -= least == request ? 0 : (least.units() - request.units()) * msPerUnit;
            } else {
                readyAt += request.units() * msPerUnit;
            }
        }
        shed.forEach(this::moveToLate);
    }

    private double weight(PendingRequest request) {
        Volume volume = request.volume;
        return request.requestClass.priorityWeight() * volume.plan.price()
            * volume.sheddingShare(request, passes);
    }

    /**
     * A queued request can no longer be served in time. One that was never sent is rejected, to be retried
     * elsewhere.
     */
    void moveToLate(PendingRequest request) {
        PendingQueue queue = state.queues.of(request);
        queue.remove(request);
        request.late = true;
        state.tagger.returnTokens(request);
        queue.add(request);
        if (request.attempts == 0) {
            answers.answer(request, Reason.LOAD_SHED);
        }
    }
}
