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
 * Maps commands to requests by the classes and plans of the settings, and knows the ids of those that are open: nodes see
 * them, so that no two may be alike. For the event loop alone.
 */
final class RequestIntake {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> plans = new HashSet<>();
    private final Set<String> openIds = new HashSet<>();

    RequestIntake(ControlSettings settings) {
        addClasses(settings.classes());
        settings.plans().forEach(plan -> plans.add(plan.name()));
    }

    /** Classes of new settings; those known before stay, for clients that lag. */
    void addClasses(List<RequestClass> added) {
        added.forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /**
     * The request of a command that arrived at {@code now}. Its id counts as open until it is {@link #release released}.
     *
     * @throws MalformedCommandException if a field does not fit the settings, or a request with its id is open
     */
    RequestArrived open(RespCommand command, double now) throws MalformedCommandException {
        RequestArrived arrival = command.arrival(now);
        RequestClass requestClass = classes.get(arrival.requestClass());
        if (requestClass == null || !plans.contains(arrival.plan())) {
            throw new MalformedCommandException("class or plan is not known");
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            command.word(RespWords.IDEMPOTENCY_KEY);   // without it no node could filter out a duplicate
        }
        if (!openIds.add(command.idText())) {
            throw new MalformedCommandException("a request with this id is open");
        }
        return arrival;
    }

    /** The request with this id is over; null is allowed and means none. */
    void release(String id) {
        openIds.remove(id);
    }
}
