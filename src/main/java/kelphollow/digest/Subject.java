package kelphollow.digest;

/** A subject on which an instance publishes values, with its name on the wire and in {@code fleet status}. */
public enum Subject {
    /** Draining nodes; the value is the time at which the node was last started, as discovery reports it. */
    DRAIN("drain"),
    /** Nodes that do not respond to the publisher; the value is the number of its attempts since it found that. */
    UNRESPONSIVE_NODE("silent"),
    /**
     * Shards whose node rejects requests for lack of capacity; the value is the highest priority weight rejected recently.
     */
    OVERLOAD("refused");

    private final String wireName;

    Subject(String wireName) {
        this.wireName = wireName;
    }

    /** The name in packets and status reports. */
    public String wireName() {
        return wireName;
    }
}
