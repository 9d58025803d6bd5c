package kelphollow.routing;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import kelphollow.decision.Control;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlEvent;

/**
 * Feeds events to the decision module one at a time and has the actions executed that it returns. Events raised while
 * actions are executed wait in a queue, so that the module is never entered twice. Confined to the event loop.
 */
final class DecisionLoop {
    private enum State {
        /** No action is under way. */
        IDLE,
        /** Actions are being executed: new events wait. */
        EXECUTING
    }

    private final Control control;
    private final Ticker ticker;
    private final Queue<ControlEvent> pending = new ArrayDeque<>();
    private ControlAction.Handler<RuntimeException> executor;
    private State state = State.IDLE;
    private double decidedAt;

    DecisionLoop(Control control, Ticker ticker) {
        this.control = control;
        this.ticker = ticker;
    }

    /** Sets what executes actions; once, before the first event. */
    void setExecutor(ControlAction.Handler<RuntimeException> executor) {
        this.executor = executor;
    }

    /** Clock time of the event to which the actions under way belong. */
    double decidedAt() {
        return decidedAt;
    }

    /** Executes what the module wants done at its start, then all events that came meanwhile. */
    void start() {
        state = State.EXECUTING;
        execute(control.start());
        state = State.IDLE;
        drain();
    }

    /** Notifies the module of an event: now, or once the actions under way have been executed. */
    void handle(ControlEvent event) {
        pending.add(event);
        drain();
    }

    private void drain() {
        if (state == State.EXECUTING) {
            return;
        }
        state = State.EXECUTING;
        try {
            ControlEvent event;
            while ((event = pending.poll()) != null) {
                decidedAt = ticker.now();
                execute(control.on(decidedAt, event));
            }
        } finally {
            state = State.IDLE;
        }
    }

    private void execute(List<ControlAction> actions) {
        for (ControlAction action : actions) {
            action.accept(executor);
        }
    }
}
