package kelphollow.overload;

/**
 * One instance's report on a node that does not respond to it.
 *
 * @param attempts how often the reporter has tried the node since it found that
 */
public record AttemptReport(String reporter, String node, double attempts) {}
