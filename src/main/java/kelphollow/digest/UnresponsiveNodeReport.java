package kelphollow.digest;

/**
 * One instance's report that a node does not respond to it.
 *
 * @param attempts how often the reporter has tried the node since it found that
 */
public record UnresponsiveNodeReport(String reporter, String node, double attempts) {}
