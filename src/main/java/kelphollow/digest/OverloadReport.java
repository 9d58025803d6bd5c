package kelphollow.digest;

/**
 * One instance's report that a shard's node rejects requests for lack of capacity.
 *
 * @param priorityWeight the highest priority weight of a request that was rejected recently
 */
public record OverloadReport(String reporter, int shard, double priorityWeight) {}
