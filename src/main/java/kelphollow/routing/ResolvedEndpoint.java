package kelphollow.routing;

import java.net.InetSocketAddress;
import kelphollow.decision.ControlEvent.Endpoint;

/**
 * A storage node of the endpoint list, with the address that only backends need.
 *
 * @param endpoint its entry
 * @param address where it listens
 */
public record ResolvedEndpoint(Endpoint endpoint, InetSocketAddress address) {}
