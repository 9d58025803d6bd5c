package kelphollow.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import kelphollow.decision.ControlAction.Reason;

/**
 * Load shedding: an exception to pClock that applies only while a node cannot meet the latency objectives of
 * all requests queued for it. Without it, an overloaded node would serve the oldest requests first and every
 * one of them late.
 */
final class QueueShedder {
    private static final Comparator<PendingRequest> LEAST_VALUABLE_FIRST = Comparator
        .<PendingRequest>comparingDouble(r -> r.sheddingWeight).thenComparingLong(r -> -r.sequence);

    private final SchedulerState state;
    private final FinalAnswers answers;
    /** Number of passes over a queue, which identifies the current pass to the volumes. */
    private long passes;

    QueueShedder(SchedulerState state, FinalAnswers answers) {
        this.state = state;
        this.answers = answers;
    }

    /**
     * Goes through the queue in the order of the tags. For each request that would miss its objective, moves
     * the least valuable request so far, which may be the same one, behind the others.
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
     * Moves a queued request that can no longer meet its objective to the late requests. A request that was
     * never sent is rejected instead, so that the client can retry it elsewhere.
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
