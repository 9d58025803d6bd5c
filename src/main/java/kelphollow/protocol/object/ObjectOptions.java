package kelphollow.protocol.object;

import java.util.Map;

/**
 * What an operator sets for the object API; sizes in bytes, times in milliseconds.
 *
 * @param buckets by name
 * @param read class of reads that are not large
 * @param write class of requests that change something
 * @param large class of reads of {@code largeUnits} or more
 * @param bytesPerUnit size of a request's unit
 * @param maxUnits most units that a request counts for
 * @param meanUnits units of a read whose size is not known beforehand
 * @param largeUnits units from which on a read is large
 * @param cells number of cells over which objects are spread
 * @param maxBodyBytes largest body of a client's request
 * @param minBytesPerMilli slowest client for whose body the deadline leaves time
 * @param stallTimeout how long a client or a body may make no progress
 * @param rememberedParts how many parts and completions of uploads are remembered
 */
public record ObjectOptions(Map<String, Bucket> buckets, ClientClass read, ClientClass write, ClientClass large,
                            long bytesPerUnit, double maxUnits, double meanUnits, double largeUnits, int cells,
                            long maxBodyBytes, double minBytesPerMilli, double stallTimeout, int rememberedParts) {
    /** A class of the settings and the time that its clients wait, in milliseconds. */
    public record ClientClass(String name, double deadline) {}

    /** The plan of a bucket, and how many gateways its requests come through. */
    public record Bucket(String plan, int gateways) {}
}
