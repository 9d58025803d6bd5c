package kelphollow.overload;

/**
 * One instance's report of a node that does not respond to it.
 *
 * @param attempts number of attempts that the reporter has made at the node since it found the node unresponsive
 */
public record AttemptReport(String reporter, String node, double attempts) {}
