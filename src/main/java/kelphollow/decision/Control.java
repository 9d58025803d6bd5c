package kelphollow.decision;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import kelphollow.decision.ControlAction.PollEndpoints;

/**
 * Makes all decisions of one instance: takes an event and returns the actions that it results in. The
 * interface is {@link ControlSettings}, {@link ControlEvent} and {@link ControlAction}. It does no I/O and
 * has no thread or clock of its own, so the same settings, seed and events always give the same actions. Not
 * thread-safe.
 *
 * <p>Reading order: {@link #on}; {@link EventHandler}, which takes every event; {@link SchedulerState}, which
 * owns the state; {@link RequestArrivals} and {@link ArrivalCurveTagger} (the tags of pClock);
 * {@link Dispatcher} (which request is sent next, and to which node); {@link RateLimiter} (limits);
 * {@link Node} (health, concurrency window, slow start); {@link AttemptCompletions} and {@link RetryPolicy}
 * (outcomes, retries); {@link DeadlineMonitor} (answers before the deadline).
 */
public final class Control {
    private final SchedulerState state;
    private final EndpointPollSchedule pollSchedule;
    private final WakeTimer wakeTimer;
    private final DeadlineMonitor deadlines;
    private final Dispatcher dispatcher;
    private final EventHandler handler;

    /**
     * Creates an instance with no endpoints; rate limits accrue tokens from {@code now} on. Call
     * {@link #start} next.
     *
     * @param settings configuration of the instance
     * @param seed seed of all random draws
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
     * Whether this instance polls the endpoint list; otherwise the list is pushed. {@link #start} then
     * schedules the first poll.
     */
    public boolean pollsEndpoints() {
        return state.context.settings().endpointsPolled();
    }

    /** Starts the instance and returns its first actions. */
    public List<ControlAction> start() {
        if (pollsEndpoints()) {
            pollSchedule.started(state.now());
        }
        pollIfDue();
        wakeTimer.set(pollSchedule.dueAt());
        return state.actions.drain();
    }

    /** Handles one event at time {@code now} and returns the resulting actions, in order. */
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
     * Tokens left in this instance's share of each volume's rate limit, by volume, less borrowed tokens not
     * yet repaid. Volumes without a limit are left out.
     */
    public Map<String, Double> limitTokens() {
        return state.volumes.limitTokens();
    }

    /**
     * Tokens that {@link ControlEvent.LimitsHandedOver} gave up for the next process, by volume; null before
     * it.
     */
    public Map<String, Double> handedOverLimits() {
        return state.volumes.handedOver();
    }

    /** Nodes that this instance itself found unresponsive, with the number of probes sent to each since. */
    public Map<String, Integer> unresponsiveNodes() {
        return state.nodes.unresponsive();
    }

    /** Number of nodes in memory, removed ones with attempts in flight included. */
    int nodeCount() {
        return state.nodes.size();
    }

    /** Number of volumes in memory. */
    public int volumeCount() {
        return state.volumes.size();
    }
}
