package kelphollow.store;

import java.util.List;
import java.util.Map;

/**
 * Contents and state of a store, read without modifying it. Sizes are those of one copy.
 *
 * @param generation generation of the current manifest
 * @param time latest time that the store has recorded, in Unix milliseconds
 * @param bytes total length of all segments
 * @param liveBytes of {@code bytes}, operations that are the latest of their key
 * @param tables number of keys by table
 * @param report damage that an opening would repair, and data that is lost
 */
public record Inspection(String store, long generation, long time, long lastSequence, long bytes, long liveBytes,
                         List<SegmentSummary> segments, Map<String, Integer> tables, IntegrityReport report) {
    /** One segment; {@code sealed} is false for the active segment, {@code hasHint} tells whether it has a hint file. */
    public record SegmentSummary(long id, long bytes, int operations, long liveBytes, boolean sealed, boolean hasHint) {}
}
