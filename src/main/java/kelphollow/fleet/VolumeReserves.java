package kelphollow.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets for this instance's part of the volumes' reserves, each one second deep. Above {@link #EVICTION_THRESHOLD}
 * buckets, those that are full again are evicted. Times are in milliseconds. Not thread-safe.
 */
final class VolumeReserves {
    private static final int EVICTION_THRESHOLD = 1_000;
    private static final double FULL_AFTER_MS = 1_000;

    private static final class Bucket {
        private double units;
        private double updatedAt;
    }

    private final Map<String, Bucket> byVolume = new HashMap<>();

    /** Takes units from a volume's reserve of {@code rate} units per second; returns false if too few are left. */
    boolean take(double now, String volume, double rate, double units) {
        if (byVolume.size() > EVICTION_THRESHOLD) {
            byVolume.values().removeIf(b -> now - b.updatedAt > FULL_AFTER_MS);
        }
        Bucket bucket = byVolume.computeIfAbsent(volume, v -> new Bucket());
        bucket.units = bucket.updatedAt == 0 ? rate
            : Math.min(rate, bucket.units + (now - bucket.updatedAt) / 1_000 * rate);
        bucket.updatedAt = now;
        if (bucket.units < units) {
            return false;
        }
        bucket.units -= units;
        return true;
    }
}
