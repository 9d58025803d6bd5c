package kelphollow.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;

/**
 * What the fleet asks of the routing of its instance, and all that it changes there. {@link RequestRouter} is the one that routes
 * requests; an instance without a data path, as a scale run has them, answers for itself. All calls come on one loop.
 */
public interface FleetRouting {
    /**
     * From now on further attempts at each node are at most this share of the first ones.
     *
     * @param share of first attempts, 0 and up
     * @param span in which both are counted, in milliseconds
     */
    void limitRetries(double share, double span);

    /** From now on requests are looked at by this before the decision module hears of them. */
    void admit(AdmissionFilter by);

    /** {@code heard} is told what each list from discovery says, as it says it, once it has been followed. */
    void onEndpointsReceived(Consumer<List<Endpoint>> heard);

    /** Nodes that get nothing new for the sake of other instances; all of them each time. */
    void eject(Set<String> nodes);

    /** Nodes that others found silent; all of them each time. */
    void doubt(Set<String> nodes);

    /** Nodes that do not answer this instance, and how often it has tried each since. */
    Map<String, Integer> unresponsiveNodes();
}
