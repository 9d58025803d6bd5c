package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;
import org.junit.jupiter.api.Test;

/** The example of the README, as a user would write it. */
class ExampleTest {
    @Test void readmeExampleSendsTheRequest() {
        double clock = 1_000;
        ControlSettings settings = new ControlSettings(0, 1, "room", 1, 3, 1000, true, false, 1000, 2, 0.4, 0.05,
            List.of(new RequestClass("read", 300, 2000, 1, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false,
                false)),
            List.of(new Plan("gold", 10, 5, 1, 1, 0, 0, 0)),
            new Rules(250, 0.25, 10_000, 2, 1000, 6, 0, 3, 0.25, 5000, 0));
        Control control = new Control(settings, 42, clock);
        List<ControlAction> first = control.start();
        control.on(clock, new EndpointsReceived(List.of(new Endpoint("node-1", "room", 0, EndpointState.HEALTHY, 0)), true,
            false));
        List<String> sent = new ArrayList<>();
        for (ControlAction action : control.on(clock, new RequestArrived("r-1", "read", "gold", "key", clock + 2000, "vol",
            2, 0, 1))) {
            if (action instanceof SendAttempt send) {
                sent.add("send " + send.id() + " to " + send.node());
            }
        }
        assertEquals(List.of(), first);
        assertEquals(List.of("send r-1 to node-1"), sent);
    }
}
