package kelphollow.digest;

/**
 * One instance's report that a node does not respond to it.
 *
 * @param attempts number of attempts that the reporter has made since it found the node unresponsive
 */
public record UnresponsiveNodeReport(String reporter, String node, double attempts) {}
