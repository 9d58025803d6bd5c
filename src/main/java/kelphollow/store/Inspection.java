package kelphollow.store;

import java.util.List;
import java.util.Map;

/**
 * What a store holds, read without changing anything. Sizes in bytes, of one copy.
 *
 * @param generation of the manifest in force
 * @param time the latest time that the store has recorded, in Unix milliseconds
 * @param tables number of keys by table
 * @param report what an opening would repair, and what is lost
 */
public record Inspection(String store, long generation, long time, long lastSequence, long bytes, long liveBytes,
                         List<SegmentSummary> segments, Map<String, Integer> tables, IntegrityReport report) {
    /** One segment; {@code sealed} is false for the one that is written to, {@code hint} says that it has a hint file. */
    public record SegmentSummary(long id, long bytes, int operations, long liveBytes, boolean sealed, boolean hasHint) {}
}
