package kelphollow.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;

/**
 * The interface by which the fleet queries and changes the routing of its own instance. {@link RequestRouter} implements
 * it; an instance without a data path, as in a scale run, has an implementation of its own. Confined to one event loop.
 */
public interface FleetRouting {
    /**
     * Limits the retries at each node to a share of the first attempts there.
     *
     * @param share of the first attempts, 0 or more
     * @param window in which both are counted, in milliseconds
     */
    void limitRetries(double share, double window);

    /** Sets the filter that decides on each request before the decision module is notified of it. */
    void setAdmissionFilter(AdmissionFilter filter);

    /** Sets the listener that gets the entries of each list from discovery, once the list has been applied. */
    void onEndpointsReceived(Consumer<List<Endpoint>> listener);

    /**
     * Replaces the set of ejected nodes, which get no new requests. A node that leaves the set serves again in the state
     * that the endpoint list gives it.
     */
    void eject(Set<String> nodes);

    /** Replaces the set of nodes that other instances found unresponsive; these nodes are only probed. */
    void suspect(Set<String> nodes);

    /** Nodes that do not respond to this instance, each with the number of attempts since its last response. */
    Map<String, Integer> unresponsiveNodes();
}
