package kelphollow.digest;

/**
 * One instance's report that a node is draining.
 *
 * @param startedAt when the node was last started, as discovery reports it
 */
public record DrainNotice(String reporter, String node, double startedAt) {}
