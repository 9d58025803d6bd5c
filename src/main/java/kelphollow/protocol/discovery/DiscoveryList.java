package kelphollow.protocol.discovery;

import java.util.List;
import kelphollow.routing.ResolvedEndpoint;

/**
 * An endpoint list as received from discovery.
 *
 * @param version increased by the service with each change; negative if the list does not come from a service
 * @param complete whether the list has all endpoints, or only the changed ones
 * @param endpoints the entries in the order received
 */
public record DiscoveryList(long version, boolean complete, List<ResolvedEndpoint> endpoints) {}
