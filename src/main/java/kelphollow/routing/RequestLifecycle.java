package kelphollow.routing;

import java.util.Map;
import java.util.OptionalDouble;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.RequestArrived;

/**
 * Accepts requests from fronts and ensures that each gets exactly one final response (served, rejected or failed), or
 * none once its client has disconnected. Confined to the event loop.
 */
final class RequestLifecycle {
    private static final int ID_RADIX = 36;

    private final Map<String, Request> open;
    private final DecisionLoop decisions;
    private final RequestLog log;
    private AdmissionFilter admission = AdmissionFilter.ADMIT_ALL;
    private long nextId;

    /** {@code open}: the requests without a final response, by id; only this object changes the map. */
    RequestLifecycle(Map<String, Request> open, DecisionLoop decisions, RequestLog log) {
        this.open = open;
        this.decisions = decisions;
        this.log = log;
    }

    /** Sets the filter that decides on each request before the decision module is notified of it. */
    void setAdmissionFilter(AdmissionFilter filter) {
        admission = filter;
    }

    /** Accepts a request under an id that the router assigns; see {@link RequestRouter#submit}. */
    Request submit(RequestArrived arrival, Object message, ResponseCallback callback) {
        RequestArrived numbered = numbered(arrival);
        Request request = new Request(numbered, arrival.id(), message, callback);
        log.submitted();
        OptionalDouble retryAfter = admission.retryAfter(numbered);
        if (retryAfter.isPresent()) {
            request.finish();
            callback.rejected(retryAfter.getAsDouble(), false);
            return request;
        }
        open.put(numbered.id(), request);
        decisions.handle(numbered);
        return request;
    }

    private RequestArrived numbered(RequestArrived arrival) {
        String id = Long.toString(nextId++, ID_RADIX);
        return new RequestArrived(id, arrival.requestClass(), arrival.plan(), arrival.key(), arrival.deadline(),
            arrival.volume(), arrival.units(), arrival.cell(), arrival.instances(), arrival.isRetry());
    }

    /** The open request of this id, or null. */
    Request find(String id) {
        return open.get(id);
    }

    int openCount() {
        return open.size();
    }

    /** The latest deadline of an open request, or negative infinity. */
    double latestDeadline() {
        return open.values().stream().mapToDouble(request -> request.arrival().deadline()).max()
            .orElse(Double.NEGATIVE_INFINITY);
    }

    /** The client has disconnected: the request needs no response, and attempts in flight are cancelled. */
    void clientDisconnected(Request request) {
        if (request.isFinished()) {
            return;
        }
        log.clientDisconnected();
        close(request);
        decisions.handle(new ClientDisconnected(request.arrival().id()));
    }

    /** An attempt succeeded. Its response is the final one, unless the request is already finished. */
    void served(Request request, Object response) {
        if (request.isFinished()) {
            return;
        }
        close(request);
        log.served();
        request.callback().served(response);
    }

    /** Gives the request its final response: rejected, as the decision module decided. */
    void reject(RejectRequest action) {
        Request request = conclude(action.id());
        if (request == null) {
            return;
        }
        log.rejected(request, action.reason());
        if (request.attemptCount() == 0) {
            admission.rejected(request.arrival());
        }
        request.callback().rejected(action.retryAfter(), request.timedOut());
    }

    /** Gives the request its final response: failed, as the decision module decided. */
    void fail(FailRequest action) {
        Request request = conclude(action.id());
        if (request == null) {
            return;
        }
        log.failed(request, action.reason());
        request.callback().failed(request.timedOut());
    }

    /** Closes the request for its final response. Returns null and reports a broken invariant if it is not open. */
    private Request conclude(String id) {
        Request request = open.get(id);
        if (!Invariant.holds(request != null && !request.isFinished(),
            () -> "final response to request " + id + ", which is not open")) {
            return null;
        }
        close(request);
        return request;
    }

    private void close(Request request) {
        request.finish();
        open.remove(request.arrival().id());
    }
}
