package kelphollow.membership;

/**
 * Parameters of the membership protocol; times are in milliseconds. {@link #DEFAULTS} has the proportions of the SWIM and
 * Lifeguard papers at a protocol period of half a second.
 *
 * @param protocolPeriod time between probes (SWIM's T')
 * @param probeTimeout how long a direct probe waits for its ack before indirect probes are requested
 * @param indirectProbes how many members are asked to probe in turn (SWIM's k)
 * @param gossipInterval time between gossip rounds that go out beside the probes while updates are queued
 * @param gossipFanout members that receive one gossip round
 * @param suspicionMultiplier Lifeguard's alpha: the shortest suspicion, in protocol periods times log10 of the fleet's size
 * @param suspicionMaxFactor Lifeguard's beta: the longest suspicion as a multiple of the shortest
 * @param suspicionConfirmations Lifeguard's K: independent accusers that bring suspicion down to the shortest
 * @param localHealthLimit Lifeguard's S: the local health multiplier stays below this
 * @param rejoinInterval mean time between full exchanges with an absent or a random present member
 * @param maxMembers members that are kept, this instance included; updates of further ones are dropped
 * @param maxUpdatesPerMessage updates that one datagram carries
 * @param pauseThreshold a tick that is late by more than this shows that the process was paused
 */
public record MembershipSettings(double protocolPeriod, double probeTimeout, int indirectProbes, double gossipInterval,
                                 int gossipFanout, double suspicionMultiplier, double suspicionMaxFactor,
                                 int suspicionConfirmations, int localHealthLimit, double rejoinInterval, int maxMembers,
                                 int maxUpdatesPerMessage, double pauseThreshold) {
    /** What an instance uses unless its operator configures otherwise. */
    public static final MembershipSettings DEFAULTS = new MembershipSettings(500, 150, 3, 50, 3, 4, 6, 3, 8, 2_000, 1_024,
        10, 250);

    /** Throws {@link IllegalArgumentException} naming the parameter that is out of bounds. */
    public MembershipSettings {
        require(protocolPeriod > 0, "protocolPeriod");
        require(probeTimeout > 0 && probeTimeout < protocolPeriod, "probeTimeout");
        require(indirectProbes >= 0, "indirectProbes");
        require(gossipInterval > 0, "gossipInterval");
        require(gossipFanout > 0, "gossipFanout");
        require(suspicionMultiplier > 0, "suspicionMultiplier");
        require(suspicionMaxFactor >= 1, "suspicionMaxFactor");
        require(suspicionConfirmations >= 1, "suspicionConfirmations");
        require(localHealthLimit >= 1, "localHealthLimit");
        require(rejoinInterval > 0, "rejoinInterval");
        require(maxMembers > 1, "maxMembers");
        require(maxUpdatesPerMessage > 0, "maxUpdatesPerMessage");
        require(pauseThreshold > 0, "pauseThreshold");
    }

    private static void require(boolean holds, String parameter) {
        if (!holds) {
            throw new IllegalArgumentException(parameter + " is out of bounds");
        }
    }

    /** The same with another protocol period in milliseconds; the times that are counted in periods scale with it. */
    public MembershipSettings withProtocolPeriod(double millis) {
        double scale = millis / protocolPeriod;
        return new MembershipSettings(millis, probeTimeout * scale, indirectProbes, Math.min(gossipInterval, millis / 4),
            gossipFanout, suspicionMultiplier, suspicionMaxFactor, suspicionConfirmations, localHealthLimit,
            rejoinInterval * scale, maxMembers, maxUpdatesPerMessage, Math.max(pauseThreshold, millis / 2));
    }

    /** The same with another bound on the members that are kept. */
    public MembershipSettings withMaxMembers(int members) {
        return new MembershipSettings(protocolPeriod, probeTimeout, indirectProbes, gossipInterval, gossipFanout,
            suspicionMultiplier, suspicionMaxFactor, suspicionConfirmations, localHealthLimit, rejoinInterval, members,
            maxUpdatesPerMessage, pauseThreshold);
    }
}
