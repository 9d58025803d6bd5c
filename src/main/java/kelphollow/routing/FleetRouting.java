package kelphollow.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;

/**
 * What the fleet reads from and changes in the routing of its instance. {@link RequestRouter} implements it in production; a
 * simulated instance without a data path has its own. All calls come on one loop.
 */
public interface FleetRouting {
    /**
     * Sets the retry budget of each node.
     *
     * @param share retries as a fraction of first attempts, 0 and up
     * @param window in which both are counted, in milliseconds
     */
    void limitRetries(double share, double window);

    /** Sets the filter that requests pass before the decision module gets them. */
    void setAdmissionFilter(AdmissionFilter filter);

    /** Sets the listener that gets each endpoint list from discovery, unchanged, after it has been applied. */
    void onEndpointsReceived(Consumer<List<Endpoint>> listener);

    /** Replaces the set of nodes that get no new requests for the sake of other instances. */
    void eject(Set<String> nodes);

    /** Replaces the set of nodes that other instances found unresponsive. */
    void suspect(Set<String> nodes);

    /** Nodes that do not respond to this instance, and how often it has tried each since it found that. */
    Map<String, Integer> unresponsiveNodes();
}
