package kelphollow.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets of this instance's part of the volumes' reserves, each of a second's depth. Buckets that are full again are
 * forgotten once there are many. Times are in milliseconds. For one thread.
 */
final class VolumeReserves {
    private static final int MANY_VOLUMES = 1_000;
    private static final double FULL_AFTER = 1_000;

    private static final class Bucket {
        private double units;
        private double updatedAt;
    }

    private final Map<String, Bucket> byVolume = new HashMap<>();

    /** Takes units from a volume's reserve of {@code rate} units a second; false if there are fewer. */
    boolean take(double now, String volume, double rate, double units) {
        if (byVolume.size() > MANY_VOLUMES) {
            byVolume.values().removeIf(b -> now - b.updatedAt > FULL_AFTER);
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
