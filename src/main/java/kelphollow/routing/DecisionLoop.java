package kelphollow.routing;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import kelphollow.decision.Control;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlEvent;

/**
 * Feeds events to the decision module one at a time and executes the actions that it returns. Events raised while actions
 * are executed wait in a queue, so that the module is never reentered. Confined to the event loop.
 */
final class DecisionLoop {
    private enum State {
        /** No action is being executed. */
        IDLE,
        /** Actions are being executed; new events wait. */
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

    /** Sets the executor of actions; called once, before the first event. */
    void setExecutor(ControlAction.Handler<RuntimeException> executor) {
        this.executor = executor;
    }

    /** Clock time of the event whose actions are being executed. */
    double decidedAt() {
        return decidedAt;
    }

    /** Executes the actions that the module returns at its start, then handles all events raised meanwhile. */
    void start() {
        state = State.EXECUTING;
        execute(control.start());
        state = State.IDLE;
        handlePending();
    }

    /** Notifies the module of an event: now, or once the current actions have been executed. */
    void handle(ControlEvent event) {
        pending.add(event);
        handlePending();
    }

    private void handlePending() {
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
