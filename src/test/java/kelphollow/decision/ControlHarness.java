package kelphollow.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;

/** Drives one instance by events and records its actions. */
final class ControlHarness {
    static final RequestClass READ = new RequestClass("read", 300, 2000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0, false, false);
    static final RequestClass WRITE = new RequestClass("write", 400, 2500, 3, 0.1, Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.CELL, 0, false, false);
    static final RequestClass KEYED = new RequestClass("keyed", 400, 2500, 3, 0.1, Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.CELL, 4000, false, false);
    static final RequestClass ORDERED = new RequestClass("ordered", 400, 2500, 3, 0.1, Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.CELL, 0, true, false);
    static final Plan FREE = new Plan("free", 10, 5, 1, 1, 0, 0, 0);
    static final Plan LIMITED = new Plan("limited", 10, 0, 1, 1, 20, 24, 6);
    static final Rules RULES = new Rules(250, 0.25, 10_000, 2, 1000, 6, 200, 3, 0.1, 5000, 10_000);

    final Control control;
    final List<ControlAction> actions = new ArrayList<>();
    /** Number of attempts sent, by request. */
    final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Integer> ended = new HashMap<>();
    double now;

    ControlHarness(boolean endpointsPolled, double start) {
        control = new Control(settings(endpointsPolled, RULES), 7, start);
        now = start;
        recordActions(control.start());
    }

    static ControlSettings settings(boolean endpointsPolled, Rules rules) {
        return new ControlSettings(0, 2, "a", 1, 4, 10_000, true, endpointsPolled, 1000, 2, 0.4, 0.05,
            List.of(READ, WRITE, KEYED, ORDERED), List.of(FREE, LIMITED), rules);
    }

    /** Creates an instance with one healthy node in each of the cells 0 and 1. */
    static ControlHarness ready() {
        ControlHarness scheduler = new ControlHarness(false, 50_000);
        scheduler.endpoints(healthy("n0", 0), healthy("n1", 1));
        return scheduler;
    }

    static Endpoint node(String id, int cell, EndpointState state, double startedAt) {
        return new Endpoint(id, "a", cell, state, startedAt);
    }

    /** A healthy node that started long ago. */
    static Endpoint healthy(String id, int cell) {
        return node(id, cell, EndpointState.HEALTHY, 0);
    }

    /** Passes an event to the instance, records its actions and returns them. */
    List<ControlAction> on(ControlEvent event) {
        List<ControlAction> result = control.on(now, event);
        recordActions(result);
        return result;
    }

    private void recordActions(List<ControlAction> result) {
        actions.addAll(result);
        for (ControlAction action : result) {
            if (action instanceof SendAttempt send) {
                attempts.merge(send.id(), 1, Integer::sum);
            }
        }
    }

    /** Delivers a complete endpoint list. */
    List<ControlAction> endpoints(Endpoint... nodes) {
        return on(new EndpointsReceived(List.of(nodes), true, false));
    }

    /** Delivers a request with the full deadline of its class, as on a client's first attempt. */
    List<ControlAction> request(String id, String requestClass, String plan, String volume, double units, int cell) {
        double deadline = requestClass.equals("read") ? READ.deadline() : WRITE.deadline();
        return request(id, requestClass, plan, volume, units, cell, null, now + deadline, 1);
    }

    List<ControlAction> request(String id, String requestClass, String plan, String volume, double units, int cell,
        String key, double deadline, int instances) {
        return on(new RequestArrived(id, requestClass, plan, key, deadline, volume, units, cell, instances));
    }

    /** Fills the concurrency window of node n0, so that later requests are queued; returns the number of requests sent. */
    int fill() {
        int n = 0;
        while (request("fill" + n, "read", "free", "filler" + n, 1, 0).stream().anyMatch(a -> a instanceof SendAttempt)) {
            n++;
        }
        on(new ClientDisconnected("fill" + n));
        return n;
    }

    /** Ends the latest attempt of a request. */
    List<ControlAction> end(String id, AttemptOutcome outcome, double latency) {
        return on(new AttemptEnded(id, attempts.get(id) - 1, nodeOf(id), outcome, latency, outcome == AttemptOutcome.SERVED,
            false, 0, -1, Map.of()));
    }

    /** The node of the latest attempt of a request. */
    String nodeOf(String id) {
        String node = null;
        for (ControlAction action : actions) {
            if (action instanceof SendAttempt send && send.id().equals(id)) {
                node = send.node();
            }
        }
        return node;
    }

    /** Advances the time, firing timers only. */
    void advanceTo(double until) {
        while (now < until) {
            now = Math.min(until, now + 5);
            on(new TimerFired("wake"));
        }
    }

    /** Ids of the requests that were sent, once per attempt. */
    List<String> sent() {
        return actions.stream().filter(a -> a instanceof SendAttempt).map(a -> ((SendAttempt) a).id()).toList();
    }

    /** The final answers by the instance itself. */
    List<String> answered() {
        return actions.stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest)
            .map(a -> a instanceof RejectRequest r ? "rejected " + r.id() : "failed " + ((FailRequest) a).id()).toList();
    }

    /** Whether all attempts of a request were ended by {@link #serve} or {@link #fail}. */
    boolean hasEnded(String id) {
        return ended.getOrDefault(id, 0) >= attempts.getOrDefault(id, 0);
    }

    void serve(String id, double latency) {
        ended.merge(id, 1, Integer::sum);
        end(id, AttemptOutcome.SERVED, latency);
    }

    void fail(String id) {
        ended.merge(id, 1, Integer::sum);
        end(id, AttemptOutcome.ERROR, 5);
    }

    /** Removes ended requests from the recorded actions, so that long runs stay fast. */
    void forgetEnded() {
        actions.removeIf(a -> !(a instanceof SendAttempt s) || hasEnded(s.id()));
    }
}
