package kelphollow.decision;

import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.RequestClass;

/** State of one instance without the classes that drive it, for unit tests of single parts. */
final class StateHarness {
    static final double START = 50_000;

    final SchedulerState state = new SchedulerState(ControlHarness.settings(false, ControlHarness.RULES), 7, START);

    double now() {
        return state.now();
    }

    void advance(double milliseconds) {
        state.context.clock().advanceTo(state.now() + milliseconds);
    }

    /** Adds a healthy node that started long ago. */
    Node node(String id, int cell) {
        return node(id, cell, 0);
    }

    Node node(String id, int cell, double startedAt) {
        Endpoint endpoint = new Endpoint(id, "a", cell, EndpointState.HEALTHY, startedAt);
        state.nodes.apply(new EndpointsReceived(List.of(endpoint), false, false));
        return state.nodes.all().stream().filter(n -> n.id.equals(id)).findFirst().orElseThrow();
    }

    /** Adds an open request with the full deadline of its class, neither tagged nor queued. */
    PendingRequest request(String id, RequestClass requestClass, String volume, double units, int cell) {
        return request(id, requestClass, volume, null, units, cell, 0);
    }

    PendingRequest request(String id, RequestClass requestClass, String volume, String key, double units, int cell,
        double admissionDraw) {
        RequestArrived arrival = new RequestArrived(id, requestClass.name(), ControlHarness.FREE.name(), key,
            now() + requestClass.deadline(), volume, units, cell, 1);
        state.sizes.arrived(units);
        PendingRequest request = new PendingRequest(arrival, requestClass, state.volumes.of(arrival, ControlHarness.FREE),
            state.requests.nextSequence(), admissionDraw, state.context, state.requests.shutdownAt());
        state.requests.add(request);
        return request;
    }

    /** Assigns tags to a request and queues it. */
    PendingRequest queue(PendingRequest request) {
        state.tagger.tag(request);
        state.queues.of(request).add(request);
        return request;
    }

    /** Sends the next attempt of a request to a node. */
    InFlightAttempt send(PendingRequest request, Node node) {
        String key = InFlightAttempt.key(request.id(), request.attempts);
        InFlightAttempt attempt = node.send(key, request);
        state.requests.addAttempt(key, attempt);
        request.inFlight = attempt;
        request.attempts++;
        return attempt;
    }

    /** Ends an attempt now with the given outcome. */
    void end(InFlightAttempt attempt, AttemptOutcome outcome) {
        PendingRequest request = attempt.request;
        int number = request.attempts - 1;
        attempt.node.release(InFlightAttempt.key(request.id(), number));
        attempt.node.recordOutcome(attempt, new AttemptEnded(request.id(), number, attempt.node.id, outcome,
            now() - attempt.sentAt, outcome == AttemptOutcome.SERVED, false, 0, -1, Map.of()));
        request.inFlight = null;
    }

    /** Sends requests to a node one at a time, each served after the given latency. */
    void serve(Node node, int requests, double latency) {
        for (int i = 0; i < requests; i++) {
            InFlightAttempt attempt = send(request("served-" + node.id + "-" + now(), ControlHarness.READ, "served", 2,
                node.cell), node);
            advance(latency);
            end(attempt, AttemptOutcome.SERVED);
        }
    }
}
