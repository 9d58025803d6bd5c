package kelphollow.protocol.resp;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * Validates commands against the classes and plans of the settings, maps them to requests, and tracks the ids of open
 * requests. Ids are forwarded to nodes, so no two open requests may have the same one. Confined to the event loop.
 */
final class RequestIntake {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> plans = new HashSet<>();
    private final Set<String> openIds = new HashSet<>();
    private final ForwardedIds forwardedIds;

    RequestIntake(ControlSettings settings, ForwardedIds forwardedIds) {
        this.forwardedIds = forwardedIds;
        addClasses(settings.classes());
        settings.plans().forEach(plan -> plans.add(plan.name()));
    }

    /** Adds the classes of new settings; earlier ones stay valid for clients that still use them. */
    void addClasses(List<RequestClass> added) {
        added.forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /**
     * Returns the request of a command that arrived at {@code now}. Its id is open until it is {@link #release released}.
     *
     * @throws MalformedCommandException if the class or plan is unknown, a required field is missing, or the id is open or
     *     may not run again
     */
    RequestArrived open(RespCommand command, double now) throws MalformedCommandException {
        RequestArrived arrival = command.arrival(now);
        RequestClass requestClass = classes.get(arrival.requestClass());
        if (requestClass == null || !plans.contains(arrival.plan())) {
            throw new MalformedCommandException("class or plan is not known");
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            command.required(RespWireNames.IDEMPOTENCY_KEY);   // required: nodes deduplicate by it
        }
        if (!mayRepeat(requestClass) && forwardedIds.contains(command.idText())) {
            throw new MalformedCommandException("a request with this id may have run");
        }
        if (!openIds.add(command.idText())) {
            throw new MalformedCommandException("a request with this id is open");
        }
        return arrival;
    }

    private static boolean mayRepeat(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** The register for an id when it is forwarded; null if requests of this class may run any number of times. */
    ForwardedIds forwardedIdsFor(String requestClass) {
        return mayRepeat(classes.get(requestClass)) ? null : forwardedIds;
    }

    /** Removes an id from the open ones; null has no effect. */
    void release(String id) {
        openIds.remove(id);
    }
}
