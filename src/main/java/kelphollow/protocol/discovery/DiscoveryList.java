package kelphollow.protocol.discovery;

import java.util.List;
import kelphollow.routing.ResolvedEndpoint;

/**
 * An endpoint list of discovery.
 *
 * @param version counted up by the service with each change; below 0: of no service
 * @param complete whether these are all endpoints, or those that have changed
 * @param endpoints in the order of the list
 */
public record DiscoveryList(long version, boolean complete, List<ResolvedEndpoint> endpoints) {}
