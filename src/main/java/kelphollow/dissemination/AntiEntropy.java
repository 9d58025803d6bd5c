package kelphollow.dissemination;

import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;

/**
 * The messages of one comparison of views, one datagram each: {@link Summary}, answered by {@link Versions} where it
 * differs, answered by a {@link Delta} of what is newer on one side, answered by one of what was wanted. Each stands for
 * itself: a lost one costs the comparison and no more.
 */
public sealed interface AntiEntropy {
    /** Entries, news, parts or names that one message carries at most. */
    int MOST_ENTRIES = 256;

    /** One hash a bucket, see {@link BucketHashes}. */
    record Summary(List<Integer> hashes) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} if there are not just as many as buckets. */
        public Summary {
            hashes = List.copyOf(hashes);
            if (hashes.size() != BucketHashes.BUCKETS) {
                throw new IllegalArgumentException("a summary has " + BucketHashes.BUCKETS + " hashes");
            }
        }
    }

    /** What the sender holds of all instances that fall in these buckets. */
    record Versions(List<Integer> buckets, List<Entry> entries) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} for too much, or a bucket that there is not. */
        public Versions {
            buckets = bounded(buckets);
            entries = bounded(entries);
            if (buckets.stream().anyMatch(b -> b < 0 || b >= BucketHashes.BUCKETS)) {
                throw new IllegalArgumentException("no such bucket");
            }
        }
    }

    /** What the sender holds newer, and the names of which the receiver seems to. */
    record Delta(List<MemberUpdate> news, List<InstanceState> parts, List<String> wanted) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} for too much. */
        public Delta {
            news = bounded(news);
            parts = bounded(parts);
            wanted = bounded(wanted);
        }

        boolean isEmpty() {
            return news.isEmpty() && parts.isEmpty() && wanted.isEmpty();
        }
    }

    /**
     * One instance in {@link Versions}.
     *
     * @param member its state without address and accuser
     * @param partEpoch of the part that is held, or -1
     * @param partVersion of the part that is held, or -1
     */
    record Entry(MemberUpdate member, long partEpoch, long partVersion) {
        boolean isOlderThan(InstanceState part) {
            return part.epoch() != partEpoch ? part.epoch() > partEpoch : part.version() > partVersion;
        }

        boolean isNewerThan(InstanceState part) {
            return partEpoch >= 0 && (part == null
                || (part.epoch() != partEpoch ? part.epoch() < partEpoch : part.version() < partVersion));
        }
    }

    private static <T> List<T> bounded(List<T> all) {
        if (all.size() > MOST_ENTRIES) {
            throw new IllegalArgumentException("more than " + MOST_ENTRIES + " entries");
        }
        return List.copyOf(all);
    }
}
