package kelphollow.membership;

/**
 * Parameters of the membership protocol; times are in milliseconds. {@link #DEFAULTS} has the proportions of the SWIM and
 * Lifeguard papers at a protocol period of half a second.
 *
 * @param protocolPeriod time between probes (SWIM's T')
 * @param probeTimeout how long a direct probe waits for its ack before indirect probes are requested
 * @param indirectProbes members that are asked to probe a target that did not answer (SWIM's k)
 * @param gossipInterval time between gossip rounds, which are sent in addition to probes while updates are queued
 * @param gossipFanout members that receive one gossip round
 * @param suspicionMultiplier Lifeguard's alpha: the shortest suspicion, in protocol periods times log10 of the fleet's size
 * @param suspicionMaxFactor Lifeguard's beta: the longest suspicion as a multiple of the shortest
 * @param suspicionConfirmations Lifeguard's K: independent accusers that reduce the suspicion to the shortest
 * @param localHealthLimit Lifeguard's S: the local health multiplier stays below this
 * @param rejoinInterval mean time between full exchanges with an absent or a random present member
 * @param maxMembers members that are kept, this instance included; updates of further members are dropped
 * @param maxUpdatesPerMessage updates that one datagram carries
 * @param pauseThreshold a tick that is late by more than this counts as a pause of the process
 */
public record MembershipSettings(double protocolPeriod, double probeTimeout, int indirectProbes, double gossipInterval,
                                 int gossipFanout, double suspicionMultiplier, double suspicionMaxFactor,
                                 int suspicionConfirmations, int localHealthLimit, double rejoinInterval, int maxMembers,
                                 int maxUpdatesPerMessage, double pauseThreshold) {
    /** The values that an instance uses unless its operator configures others. */
    public static final MembershipSettings DEFAULTS = new MembershipSettings(500, 150, 3, 50, 3, 4, 6, 3, 8, 2_000, 1_024,
        10, 250);

    /** Throws {@link IllegalArgumentException} naming the parameter that is out of bounds. */
    public MembershipSettings {
        require(protocolPeriod > 0, "protocolPeriod", protocolPeriod, "above 0 ms");
        require(probeTimeout > 0 && probeTimeout < protocolPeriod, "probeTimeout", probeTimeout,
            "above 0 ms and below protocolPeriod");
        require(indirectProbes >= 0, "indirectProbes", indirectProbes, "at least 0");
        require(gossipInterval > 0, "gossipInterval", gossipInterval, "above 0 ms");
        require(gossipFanout > 0, "gossipFanout", gossipFanout, "above 0");
        require(suspicionMultiplier > 0, "suspicionMultiplier", suspicionMultiplier, "above 0");
        require(suspicionMaxFactor >= 1, "suspicionMaxFactor", suspicionMaxFactor, "at least 1");
        require(suspicionConfirmations >= 1, "suspicionConfirmations", suspicionConfirmations, "at least 1");
        require(localHealthLimit >= 1, "localHealthLimit", localHealthLimit, "at least 1");
        require(rejoinInterval > 0, "rejoinInterval", rejoinInterval, "above 0 ms");
        require(maxMembers > 1, "maxMembers", maxMembers, "above 1");
        require(maxUpdatesPerMessage > 0, "maxUpdatesPerMessage", maxUpdatesPerMessage, "above 0");
        require(pauseThreshold > 0, "pauseThreshold", pauseThreshold, "above 0 ms");
    }

    private static void require(boolean holds, String parameter, Number found, String bound) {
        if (!holds) {
            throw new IllegalArgumentException(parameter + " must be " + bound + ", found " + found);
        }
    }

    /** These settings with another protocol period in milliseconds; the times that depend on it are scaled. */
    public MembershipSettings withProtocolPeriod(double millis) {
        double scale = millis / protocolPeriod;
        return new MembershipSettings(millis, probeTimeout * scale, indirectProbes, Math.min(gossipInterval, millis / 4),
            gossipFanout, suspicionMultiplier, suspicionMaxFactor, suspicionConfirmations, localHealthLimit,
            rejoinInterval * scale, maxMembers, maxUpdatesPerMessage, Math.max(pauseThreshold, millis / 2));
    }

    /** These settings with another bound on the member list. */
    public MembershipSettings withMaxMembers(int members) {
        return new MembershipSettings(protocolPeriod, probeTimeout, indirectProbes, gossipInterval, gossipFanout,
            suspicionMultiplier, suspicionMaxFactor, suspicionConfirmations, localHealthLimit, rejoinInterval, members,
            maxUpdatesPerMessage, pauseThreshold);
    }
}
