package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.List;
import kelphollow.membership.MemberUpdate;

/**
 * A view in a few hundred bytes: instances fall into buckets by a hash of their name, and each bucket is the exclusive or of
 * its instances' hashes over life and version, so that order does not matter and equal views have equal summaries. Two
 * different buckets look equal once in 2^32, until either changes.
 */
final class BucketHashes {
    static final int BUCKETS = 64;
    private final int[] hashes = new int[BUCKETS];

    /**
     * Adds one instance that is seen alive or suspected; the part's figures are -1 where none is held. Suspicions and what
     * refutes them count: where a rumour of either was lost, an instance that runs could be found dead.
     */
    void add(MemberUpdate member, long partEpoch, long partVersion) {
        long hash = mix(of(member.name()) ^ member.epoch());
        hash = mix(mix(hash ^ member.incarnation()) ^ member.state().ordinal());
        hash = mix(mix(hash ^ partEpoch) ^ partVersion);
        hashes[bucket(member.name())] ^= (int) (hash >>> 32);
    }

    List<Integer> list() {
        List<Integer> all = new ArrayList<>(BUCKETS);
        for (int hash : hashes) {
            all.add(hash);
        }
        return all;
    }

    static int bucket(String name) {
        return (int) (of(name) >>> 32 & BUCKETS - 1);
    }

    private static long of(String name) {
        long hash = 0xcbf29ce484222325L;              // FNV-1a, then mixed: its high bits alone are poor
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
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
