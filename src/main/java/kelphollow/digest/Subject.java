package kelphollow.digest;

/**
 * What an instance can publish values about, with the word that stands for it on the wire and in {@code fleet status}.
 */
public enum Subject {
    /** Draining nodes; the value is when the node was last started, as discovery reports it. */
    DRAIN("drain"),
    /** Nodes that do not respond to the publisher; the value counts its attempts since it found that. */
    UNRESPONSIVE_NODE("silent"),
    /**
     * Shards whose node rejects requests for lack of capacity; the value is the highest priority weight rejected of late.
     */
    OVERLOAD("refused");

    private final String wireName;

    Subject(String wireName) {
        this.wireName = wireName;
    }

    /** The word for it in packets and reports. */
    public String wireName() {
        return wireName;
    }
}
