package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.List;
import kelphollow.membership.MemberUpdate;

/**
 * A summary of a view in a few hundred bytes. Instances are assigned to buckets by a hash of their name. The hash of a
 * bucket is the exclusive or of its instances' hashes over epochs and versions, so that order does not matter and equal
 * views have equal summaries. Two different buckets have the same hash with a probability of 2^-32, until either changes.
 */
final class BucketHashes {
    static final int BUCKETS = 64;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private final int[] hashes = new int[BUCKETS];

    /**
     * Adds one present instance. Its incarnation and member state are part of the hash: without them, a running instance
     * could be declared dead where gossip of a suspicion or of its refutation was lost.
     */
    void add(MemberUpdate member, long stateEpoch, long stateVersion) {
        long hash = mix(hashOf(member.name()) ^ member.epoch());
        hash = mix(mix(hash ^ member.incarnation()) ^ member.state().ordinal());
        hash = mix(mix(hash ^ stateEpoch) ^ stateVersion);
        hashes[bucketOf(member.name())] ^= (int) (hash >>> 32);
    }

    List<Integer> toList() {
        List<Integer> all = new ArrayList<>(BUCKETS);
        for (int hash : hashes) {
            all.add(hash);
        }
        return all;
    }

    static int bucketOf(String name) {
        return (int) (hashOf(name) >>> 32 & BUCKETS - 1);
    }

    /** FNV-1a, mixed because its high bits alone are poorly distributed. */
    private static long hashOf(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
