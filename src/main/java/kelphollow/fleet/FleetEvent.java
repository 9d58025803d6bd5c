package kelphollow.fleet;

import kelphollow.membership.MembershipOutput;

/** Kinds of events in the fleet's event log, with the word that stands for each in a line. */
enum FleetEvent {
    /** This instance has started. */
    STARTED("started"),
    /** This instance goes on under a higher epoch. */
    EPOCH_RAISED("raised"),
    /** The set of nodes that are draining by the notices of others has changed. */
    NODES_DRAINING("cordoned"),
    /** The set of nodes that are left to others to health-check has changed. */
    NODES_DELEGATED("rested"),
    /** The set of shards at which requests are shed has changed. */
    SHEDDING_CHANGED("gives_way"),
    /** See {@link MembershipOutput.Kind#JOINED}. */
    JOINED("joined"),
    /** See {@link MembershipOutput.Kind#SUSPECTED}. */
    SUSPECTED("suspected"),
    /** See {@link MembershipOutput.Kind#CLEARED}. */
    CLEARED("cleared"),
    /** See {@link MembershipOutput.Kind#FAILED}. */
    FAILED("failed"),
    /** See {@link MembershipOutput.Kind#LEFT}; also this instance's own graceful shutdown. */
    LEFT("left"),
    /** See {@link MembershipOutput.Kind#DISPLACED}. */
    DISPLACED("displaced"),
    /** See {@link MembershipOutput.Kind#REFUTED}. */
    REFUTED("refuted"),
    /** See {@link MembershipOutput.Kind#PAUSED}. */
    STOOD_STILL("stood_still");

    private final String word;

    FleetEvent(String word) {
        this.word = word;
    }

    /** The word in the event log. */
    String word() {
        return word;
    }

    static FleetEvent of(MembershipOutput.Kind kind) {
        return switch (kind) {
            case JOINED -> JOINED;
            case SUSPECTED -> SUSPECTED;
            case CLEARED -> CLEARED;
            case FAILED -> FAILED;
            case LEFT -> LEFT;
            case DISPLACED -> DISPLACED;
            case REFUTED -> REFUTED;
            case PAUSED -> STOOD_STILL;
        };
    }
}
