package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * Executes requests of one key of an ordered class one after the other. After an attempt whose outcome is
 * unknown the key is quiet for a time, since that attempt may still be executing. Confined to the thread that
 * drives {@link Control}.
 */
final class KeyOrders {
    /** Keys are swept when there are more of them than this and twice the open requests. */
    private static final int KEYS_KEPT = 64;

    private final DecisionContext context;
    private final Map<String, KeyOrder> byKey = new LinkedHashMap<>();

    KeyOrders(DecisionContext context) {
        this.context = context;
    }

    /** A request has arrived; {@code open} is the number of open requests. */
    void arrived(PendingRequest request, int open) {
        if (!request.isOrdered()) {
            return;
        }
        if (byKey.size() > 2 * open + KEYS_KEPT) {     // quiet keys would pile up over the weeks
            byKey.values().removeIf(order -> order.isOver(context.now()));
        }
        byKey.computeIfAbsent(request.arrival.key(), k -> new KeyOrder()).waiting.add(request);
    }

    /** Whether a request need not wait for others of its key. */
    boolean hasTurn(PendingRequest request) {
        if (!request.isOrdered()) {
            return true;
        }
        KeyOrder order = byKey.get(request.arrival.key());
        return order.waiting.peek() == request && order.isQuiet(context.now());
    }

    void sent(PendingRequest request) {
        if (request.isOrdered()) {
            byKey.get(request.arrival.key()).inFlight++;
        }
    }

    void attemptEnded(PendingRequest request, AttemptOutcome outcome) {
        if (!request.isOrdered()) {
            return;
        }
        KeyOrder order = byKey.get(request.arrival.key());
        order.inFlight--;
        if (mayStillExecute(outcome)) {
            double quietUntil = context.now() + context.rules().keyQuietTime() + context.tick();
            order.quietUntil = Math.max(order.quietUntil, quietUntil);
        }
    }

    private static boolean mayStillExecute(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMED_OUT || outcome == AttemptOutcome.RESET
            || outcome == AttemptOutcome.CANCELLED;
    }

    /** A request is closed: the next one of its key has its turn. */
    void closed(PendingRequest request) {
        if (!request.isOrdered()) {
            return;
        }
        KeyOrder order = byKey.get(request.arrival.key());
        if (order != null) {
            order.waiting.remove(request);
            if (order.isOver(context.now())) {
                byKey.remove(request.arrival.key());
            }
        }
    }
}
