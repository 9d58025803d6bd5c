package kelphollow.dissemination;

import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;

/**
 * The messages of one comparison of views, one datagram each. A {@link Summary} is answered by the {@link Versions} in the
 * buckets that differ, those by a {@link Delta} of what is newer on one side, and that by a Delta of what it requested.
 * Messages are independent: losing one ends only the comparison that it belongs to.
 */
public sealed interface AntiEntropy {
    /** Maximum number of buckets, entries, updates, states or names in one message. */
    int MAX_ENTRIES = 256;

    /** One hash per bucket, see {@link BucketHashes}. */
    record Summary(List<Integer> hashes) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} unless there are {@link BucketHashes#BUCKETS} hashes. */
        public Summary {
            hashes = List.copyOf(hashes);
            if (hashes.size() != BucketHashes.BUCKETS) {
                throw new IllegalArgumentException(
                    "summary has " + hashes.size() + " hashes, expected " + BucketHashes.BUCKETS);
            }
        }
    }

    /** The versions that the sender has of all instances in these buckets. */
    record Versions(List<Integer> buckets, List<Entry> entries) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} if a list is too long or a bucket number is out of range. */
        public Versions {
            buckets = bounded(buckets);
            entries = bounded(entries);
            if (buckets.stream().anyMatch(b -> b < 0 || b >= BucketHashes.BUCKETS)) {
                throw new IllegalArgumentException(
                    "bucket numbers " + buckets + " are not all from 0 to " + (BucketHashes.BUCKETS - 1));
            }
        }
    }

    /** What is newer on the sender's side, and the names of the instances that seem to be newer on the receiver's. */
    record Delta(List<MemberUpdate> updates, List<InstanceState> states, List<String> requested) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} if a list is too long. */
        public Delta {
            updates = bounded(updates);
            states = bounded(states);
            requested = bounded(requested);
        }

        boolean isEmpty() {
            return updates.isEmpty() && states.isEmpty() && requested.isEmpty();
        }
    }

    /**
     * One instance in {@link Versions}.
     *
     * @param member its membership state, without address and accuser
     * @param stateEpoch of the {@link InstanceState} that the sender has, or {@link #NONE}
     * @param stateVersion of the {@link InstanceState} that the sender has, or {@link #NONE}
     */
    record Entry(MemberUpdate member, long stateEpoch, long stateVersion) {
        /** Epoch and version of an entry whose sender has no state of the instance. */
        public static final long NONE = -1;

        boolean isOlderThan(InstanceState state) {
            return state.epoch() != stateEpoch ? state.epoch() > stateEpoch : state.version() > stateVersion;
        }

        boolean isNewerThan(InstanceState state) {
            return stateEpoch >= 0 && (state == null
                || (state.epoch() != stateEpoch ? state.epoch() < stateEpoch : state.version() < stateVersion));
        }
    }

    private static <T> List<T> bounded(List<T> all) {
        if (all.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException("list has " + all.size() + " entries, at most " + MAX_ENTRIES + " allowed");
        }
        return List.copyOf(all);
    }
}
