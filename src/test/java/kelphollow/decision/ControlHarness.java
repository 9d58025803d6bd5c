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

/** Drives one instance by events and keeps what it did. */
final class ControlHarness {
    static final RequestClass READ = new RequestClass("read", 300, 2000, 2, 0.1, Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL, 0, false, false);
    static final RequestClass WRITE = new RequestClass("write", 400, 2500, 3, 0.1, Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.CELL, 0, false,
        false);
    static final RequestClass KEYED = new RequestClass("keyed", 400, 2500, 3, 0.1, Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.CELL, 4000,
        false, false);
    static final RequestClass TURNS = new RequestClass("turns", 400, 2500, 3, 0.1, Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.CELL, 0, true,
        false);
    static final Plan FREE = new Plan("free", 10, 5, 1, 1, 0, 0, 0);
    static final Plan LIMITED = new Plan("limited", 10, 0, 1, 1, 20, 24, 6);
    static final Rules RULES = new Rules(250, 0.25, 10_000, 2, 1000, 6, 200, 3, 0.1, 5000, 10_000);

    final Control control;
    final List<ControlAction> actions = new ArrayList<>();
    final Map<String, Integer> tries = new HashMap<>();
    double now;

    ControlHarness(boolean ask, double start) {
        control = new Control(settings(ask, RULES), 7, start);
        now = start;
        keep(control.start());
    }

    static ControlSettings settings(boolean ask, Rules rules) {
        return new ControlSettings(0, 2, "a", 1, 4, 10_000, true, ask, 1000, 2, 0.4, 0.05,
            List.of(READ, WRITE, KEYED, TURNS), List.of(FREE, LIMITED), rules);
    }

    static ControlHarness ready() {
        ControlHarness rig = new ControlHarness(false, 50_000);
        rig.list(node("n0", 0, EndpointState.HEALTHY, 0), node("n1", 1, EndpointState.HEALTHY, 0));
        return rig;
    }

    static Endpoint node(String id, int cell, EndpointState phase, double born) {
        return new Endpoint(id, "a", cell, phase, born);
    }

    List<ControlAction> tell(ControlEvent event) {
        List<ControlAction> got = control.on(now, event);
        keep(got);
        return got;
    }

    private void keep(List<ControlAction> got) {
        actions.addAll(got);
        for (ControlAction a : got) {
            if (a instanceof SendAttempt s) {
                tries.merge(s.id(), 1, Integer::sum);
            }
        }
    }

    List<ControlAction> list(Endpoint... nodes) {
        return tell(new EndpointsReceived(List.of(nodes), true, false));
    }

    List<ControlAction> ask(String id, String kind, String plan, String volume, double units, int cell) {
        double deadline = kind.equals("read") ? READ.deadline() : WRITE.deadline();   // a first try has all its time
        return ask(id, kind, plan, volume, units, cell, null, now + deadline, 1);
    }

    List<ControlAction> ask(String id, String kind, String plan, String volume, double units, int cell, String key,
        double deadline, int hosts) {
        return tell(new RequestArrived(id, kind, plan, key, deadline, volume, units, cell, hosts));
    }

    List<ControlAction> end(String id, AttemptOutcome outcome, double took) {
        String at = nodeOf(id);
        return tell(new AttemptEnded(id, tries.get(id) - 1, at, outcome, took, outcome == AttemptOutcome.SERVED, false, 0,
            -1, Map.of()));
    }

    String nodeOf(String id) {
        String at = null;
        for (ControlAction a : actions) {
            if (a instanceof SendAttempt s && s.id().equals(id)) {
                at = s.node();
            }
        }
        return at;
    }

    /** Lets time pass with nothing but timers. */
    void pass(double until) {
        while (now < until) {
            now = Math.min(until, now + 5);
            tell(new TimerFired("wake"));
        }
    }

    List<String> sent() {
        return actions.stream().filter(a -> a instanceof SendAttempt).map(a -> ((SendAttempt) a).id()).toList();
    }

    List<String> answered() {
        return actions.stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest)
            .map(a -> a instanceof RejectRequest r ? "refused " + r.id() : "failed " + ((FailRequest) a).id()).toList();
    }

    final Map<String, Integer> ended = new HashMap<>();

    boolean doneAlready(String id) {
        return ended.getOrDefault(id, 0) >= tries.getOrDefault(id, 0);
    }

    void finish(String id, double took) {
        ended.merge(id, 1, Integer::sum);
        end(id, AttemptOutcome.SERVED, took);
    }

    void fail(String id) {
        ended.merge(id, 1, Integer::sum);
        end(id, AttemptOutcome.ERROR, 5);
    }

    /** Drops what is over from the record of actions, so that long runs stay quick. */
    void forget() {
        actions.removeIf(a -> !(a instanceof SendAttempt s) || doneAlready(s.id()));
    }
}
