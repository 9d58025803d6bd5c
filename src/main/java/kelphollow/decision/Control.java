package kelphollow.decision;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import kelphollow.decision.ControlAction.PollEndpoints;

/**
 * All decisions of one instance: takes an event and gives the actions that it leads to. The interface is
 * {@code ControlSettings.java}, {@code ControlEvent.java} and {@code ControlAction.java}. It does no I/O and
 * has no thread and no clock of its own: the same settings, seed and events give the same actions. For one
 * thread.
 *
 * <p>Reading order: {@link #on}; {@link EventHandler}, which takes every event; {@link SchedulerState}, which
 * owns the state; {@link RequestArrivals} and {@link ArrivalCurveTagger} (the tags of pClock);
 * {@link Dispatcher} (what leaves next, and where to); {@link RateLimiter} (limits); {@link Node} (health,
 * concurrency window, slow start); {@link AttemptCompletions} and {@link RetryPolicy} (outcomes, retries);
 * {@link DeadlineMonitor} (answers before the deadline).
 */
public final class Control {
    private final SchedulerState state;
    private final EndpointPollSchedule pollSchedule;
    private final WakeTimer wakeTimer;
    private final DeadlineMonitor deadlines;
    private final Dispatcher dispatcher;
    private final EventHandler handler;

    /**
     * An instance that knows nothing but its settings; limits fill from now on. Call {@link #start} next.
     *
     * @param settings what it is configured with
     * @param seed of all random draws
     * @param now clock time in milliseconds
     * @throws IllegalArgumentException naming the first setting that cannot be used
     */
    public Control(ControlSettings settings, long seed, double now) {
        state = new SchedulerState(settings, seed, now);
        pollSchedule = new EndpointPollSchedule(settings.instances(), settings.rules().pollInterval(),
            new SplittableRandom(seed));
        wakeTimer = new WakeTimer(state);
        FinalAnswers answers = new FinalAnswers(state);
        QueueShedder shedder = new QueueShedder(state, answers);
        deadlines = new DeadlineMonitor(state, answers, shedder);
        dispatcher = new Dispatcher(state, shedder);
        handler = new EventHandler(state, pollSchedule, wakeTimer, answers, deadlines);
    }

    /**
     * Whether the endpoint list comes only when it is polled; {@link #start} then says when to poll first.
     */
    public boolean pollsEndpoints() {
        return state.context.settings().endpointsPolled();
    }

    /** The first actions of the instance. */
    public List<ControlAction> start() {
        if (pollsEndpoints()) {
            pollSchedule.started(state.now());
        }
        pollIfDue();
        wakeTimer.set(pollSchedule.dueAt());
        return state.actions.drain();
    }

    /** Takes one event at time {@code now} and answers with the actions that it leads to, in order. */
    public List<ControlAction> on(double now, ControlEvent event) {
        state.context.clock().advanceTo(now);
        event.accept(handler);
        pollIfDue();
        deadlines.expire();
        dispatcher.dispatch();
        wakeTimer.set(pollSchedule.dueAt());
        return state.actions.drain();
    }

    private void pollIfDue() {
        if (pollSchedule.takeDue(state.now())) {
            state.actions.add(new PollEndpoints());
        }
    }

    /**
     * The units left in this instance's share of each limited volume, by volume, less what is owed of its
     * loan.
     */
    public Map<String, Double> limitTokens() {
        return state.volumes.limitTokens();
    }

    /** Nodes that failed to answer this instance itself, and how often it has probed each since. */
    public Map<String, Integer> unresponsiveNodes() {
        return state.nodes.unresponsive();
    }

    /** The number of nodes of which anything is kept. */
    int nodesKnown() {
        return state.nodes.size();
    }

    /** The number of volumes of which anything is kept. */
    int volumesKnown() {
        return state.volumes.size();
    }
}
