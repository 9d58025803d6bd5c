package kelphollow.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.membership.MembershipSettings;

/**
 * Configuration of an instance in a fleet. Times are in milliseconds.
 *
 * @param name of this instance, the same after each restart
 * @param listen where it listens for the others
 * @param peers addresses of others as seen from here, by name; they override what those announce
 * @param key the fleet's shared key, at least 16 bytes
 * @param membership parameters of the membership protocol
 * @param timeToLive for how long a published state counts that is neither renewed nor published again
 * @param sharesFindings whether findings of unresponsive nodes are published, and followed
 * @param shedsLoad whether requests of low priority weight are shed for others, see {@link SheddingFilter}
 * @param retryShare at each node, retries are at most this fraction of the first attempts in any 10 s
 * @param dissemination budget and rates of gossip
 */
public record FleetOptions(String name, InetSocketAddress listen, Map<String, InetSocketAddress> peers, byte[] key,
                           MembershipSettings membership, double timeToLive, boolean sharesFindings, boolean shedsLoad,
                           double retryShare, DisseminationSettings dissemination) {}
