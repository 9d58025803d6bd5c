package kelphollow.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.membership.MembershipSettings;

/**
 * Configuration of an instance in a fleet. Times are in milliseconds.
 *
 * @param name name of this instance, stable across restarts
 * @param listen address on which it listens for other instances
 * @param peers addresses of other instances as seen from this one, by name; they override the announced addresses
 * @param key the fleet's shared key, at least 16 bytes
 * @param membership parameters of the membership protocol
 * @param timeToLive how long a published state is valid that is neither renewed nor published again
 * @param sharesFindings whether this instance publishes its findings of unresponsive nodes and applies those of others
 * @param shedsLoad whether requests of low priority weight are shed in favor of higher ones, see {@link SheddingFilter}
 * @param retryShare upper bound on retries at each node, as a fraction of its first attempts in any 10 s
 * @param dissemination budget and rates of gossip
 */
public record FleetOptions(String name, InetSocketAddress listen, Map<String, InetSocketAddress> peers, byte[] key,
                           MembershipSettings membership, double timeToLive, boolean sharesFindings, boolean shedsLoad,
                           double retryShare, DisseminationSettings dissemination) {}
