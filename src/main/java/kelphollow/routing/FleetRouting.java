package kelphollow.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;

/**
 * What the fleet asks of the routing of its instance, and all that it changes there. {@link RequestRouter} is the one
 * that routes requests; an instance without a data path, as a scale run has them, answers for itself. Confined to one
 * event loop.
 */
public interface FleetRouting {
    /**
     * From now on retries at each node are limited to a share of the first attempts there.
     *
     * @param share of first attempts, 0 and up
     * @param span in which both are counted, in milliseconds
     */
    void limitRetries(double share, double span);

    /** From now on each request is offered to this filter before the decision module is notified of it. */
    void setAdmissionFilter(AdmissionFilter filter);

    /** Sets who is notified of the entries of each list from discovery, once it has been applied. */
    void onEndpointsReceived(Consumer<List<Endpoint>> listener);

    /**
     * Ejects nodes, all of them each time: nothing new goes there from now on. A node that is no longer named serves
     * again in the state that its list gives it.
     */
    void eject(Set<String> nodes);

    /** Nodes that other instances found unresponsive, all of them each time; they are only probed. */
    void suspect(Set<String> nodes);

    /** Nodes that do not answer this instance, each with the number of attempts since its last answer. */
    Map<String, Integer> unresponsiveNodes();
}
