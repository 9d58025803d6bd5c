package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;

/**
 * Ensures that requests with the same key in an ordered class are executed one at a time. After an attempt
 * with unknown outcome nothing is sent for the key during a quiet period, because that attempt may still be
 * executing. Confined to the thread that drives {@link Control}.
 */
final class KeyOrders {
    /**
     * Unused keys are removed once the number of keys exceeds this plus twice the number of open requests.
     */
    private static final int KEYS_BEFORE_SWEEP = 64;

    private final DecisionContext context;
    private final Map<String, KeyOrder> byKey = new LinkedHashMap<>();

    KeyOrders(DecisionContext context) {
        this.context = context;
    }

    /** Appends an arrived request to the order of its key; {@code open} is the number of open requests. */
    void arrived(PendingRequest request, int open) {
        if (!request.isOrdered()) {
            return;
        }
        if (byKey.size() > 2 * open + KEYS_BEFORE_SWEEP) {     // else keys accumulate over weeks
            byKey.values().removeIf(order -> order.isUnused(context.now()));
        }
        byKey.computeIfAbsent(request.arrival.key(), k -> new KeyOrder()).waiting.add(request);
    }

    /** Whether a request need not wait for other requests or attempts of its key. */
    boolean mayBeSent(PendingRequest request) {
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

    /** Removes a closed request, so that the next one of its key may be sent. */
    void closed(PendingRequest request) {
        if (!request.isOrdered()) {
            return;
        }
        KeyOrder order = byKey.get(request.arrival.key());
        if (order != null) {
            order.waiting.remove(request);
            if (order.isUnused(context.now())) {
                byKey.remove(request.arrival.key());
            }
        }
    }
}
