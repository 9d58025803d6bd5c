package kelphollow.digest;

/**
 * One instance's report that a shard's node rejects requests for lack of capacity.
 *
 * @param priorityWeight the highest that was rejected of late
 */
public record OverloadReport(String reporter, int shard, double priorityWeight) {}
