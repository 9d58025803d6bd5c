package kelphollow.dissemination;

import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;

/**
 * The messages of one comparison of views, one datagram each: {@link Summary}, answered by {@link Versions} where it
 * differs, answered by a {@link Delta} of what is newer on one side, answered by one of what was requested. Each stands for
 * itself: losing one costs the comparison and no more.
 */
public sealed interface AntiEntropy {
    /** Most entries, updates, states or names in one message. */
    int MAX_ENTRIES = 256;

    /** One hash a bucket, see {@link BucketHashes}. */
    record Summary(List<Integer> hashes) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} if there are not exactly as many as buckets. */
        public Summary {
            hashes = List.copyOf(hashes);
            if (hashes.size() != BucketHashes.BUCKETS) {
                throw new IllegalArgumentException("a summary has " + BucketHashes.BUCKETS + " hashes");
            }
        }
    }

    /** The versions that the sender has of all instances which fall into these buckets. */
    record Versions(List<Integer> buckets, List<Entry> entries) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} for too many, or a bucket number out of range. */
        public Versions {
            buckets = bounded(buckets);
            entries = bounded(entries);
            if (buckets.stream().anyMatch(b -> b < 0 || b >= BucketHashes.BUCKETS)) {
                throw new IllegalArgumentException("no such bucket");
            }
        }
    }

    /** What the sender has newer, and the names of the instances of which the receiver seems to. */
    record Delta(List<MemberUpdate> updates, List<InstanceState> states, List<String> requested) implements AntiEntropy {
        /** Throws {@link IllegalArgumentException} for too many. */
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
        /** Stands for epoch and version where the sender has no state. */
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
            throw new IllegalArgumentException("more than " + MAX_ENTRIES + " entries");
        }
        return List.copyOf(all);
    }
}
