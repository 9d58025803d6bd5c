package kelphollow.routing;

import java.net.InetSocketAddress;
import kelphollow.decision.ControlEvent.Endpoint;

/**
 * A storage node of the endpoint list, with the address that only backends need.
 *
 * @param endpoint the node's entry
 * @param address the address on which it listens
 */
public record ResolvedEndpoint(Endpoint endpoint, InetSocketAddress address) {}
