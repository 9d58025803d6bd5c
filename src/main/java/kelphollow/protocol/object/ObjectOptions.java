package kelphollow.protocol.object;

import java.util.Map;

/**
 * Settings of the object API; sizes in bytes, times in milliseconds.
 *
 * @param buckets by name
 * @param read class of reads that are not large
 * @param write class of requests that are not idempotent
 * @param large class of reads of {@code largeUnits} or more
 * @param bytesPerUnit size of a request's unit
 * @param maxUnits largest number of units of a request
 * @param meanUnits units of a read whose size is not known beforehand
 * @param largeUnits smallest number of units of a large read
 * @param cells number of cells over which objects are spread
 * @param maxBodyBytes largest body of a client's request
 * @param minBytesPerMilli transfer rate of the slowest client whose body the deadline allows for
 * @param stallTimeout how long a client or a body may make no progress
 * @param maxNodeHang how long a node may hang in the middle of its work and then go on with it
 * @param rememberedParts largest number of parts, and of completions, that are remembered
 */
public record ObjectOptions(Map<String, Bucket> buckets, ClientClass read, ClientClass write, ClientClass large,
                            long bytesPerUnit, double maxUnits, double meanUnits, double largeUnits, int cells,
                            long maxBodyBytes, double minBytesPerMilli, double stallTimeout, double maxNodeHang,
                            int rememberedParts) {
    /** A request class of the settings and how long its clients wait, in milliseconds. */
    public record ClientClass(String name, double deadline) {}

    /** The plan of a bucket, and the number of gateways that receive its requests. */
    public record Bucket(String plan, int gateways) {}

    /**
     * Returns for how long an attempt of unknown outcome may still take effect after its end: a node may hang in the middle
     * of its work, and then needs up to the time of a write to end it. Until then the node cannot be asked whether the
     * attempt took effect, since what it does not have it may have later.
     */
    double settleTime() {
        return maxNodeHang + write.deadline();
    }
}
