package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy.Entry;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Membership;

/**
 * One side of anti-entropy: compares its view of members and states with a message from the other side and builds the
 * answer. Keeps no state between messages. The cost of an answer is at most proportional to the members times the requested
 * names. Not thread-safe.
 */
final class ViewComparison {
    // Size of an entry of Versions in CBOR without its name, in bytes.
    private static final int ENTRY_OVERHEAD_BYTES = 24;

    private final Membership membership;
    private final Digest digest;
    private final RandomGenerator random;
    private final int datagramBytes;

    ViewComparison(Membership membership, Digest digest, RandomGenerator random, int datagramBytes) {
        this.membership = membership;
        this.digest = digest;
        this.random = random;
        this.datagramBytes = datagramBytes;
    }

    /** The first message of a comparison: a summary of this side's view. */
    AntiEntropy.Summary summary() {
        return new AntiEntropy.Summary(hashes(membership.snapshot()));
    }

    private List<Integer> hashes(List<MemberUpdate> members) {
        BucketHashes hashes = new BucketHashes();
        for (MemberUpdate member : members) {
            if (member.isPresent()) {
                InstanceState state = digest.latestState(member.name());
                hashes.add(member, epochOf(state), versionOf(state));
            }
        }
        return hashes.toList();
    }

    private static long epochOf(InstanceState state) {
        return state == null ? Entry.NONE : state.epoch();
    }

    private static long versionOf(InstanceState state) {
        return state == null ? Entry.NONE : state.version();
    }

    /** Answers a summary by the versions in buckets that differ, as many as fit, starting at a random bucket. */
    List<DisseminationOutput> answerSummary(String from, AntiEntropy.Summary theirs) {
        List<MemberUpdate> members = membership.snapshot();
        List<Integer> ours = hashes(members);
        List<Integer> buckets = new ArrayList<>();
        List<Entry> entries = new ArrayList<>();
        int first = random.nextInt(BucketHashes.BUCKETS);
        int bytes = 0;
        for (int i = 0; i < BucketHashes.BUCKETS && bytes < datagramBytes; i++) {
            int bucket = (first + i) % BucketHashes.BUCKETS;
            if (ours.get(bucket).equals(theirs.hashes().get(bucket))) {
                continue;
            }
            List<Entry> added = entries(bucket, members);
            bytes += added.stream().mapToInt(e -> e.member().name().length() + ENTRY_OVERHEAD_BYTES).sum();
            boolean overflows = bytes > datagramBytes || entries.size() + added.size() > AntiEntropy.MAX_ENTRIES;
            if (!buckets.isEmpty() && overflows) {
                break;
            }
            buckets.add(bucket);
            entries.addAll(added.subList(0, Math.min(added.size(), AntiEntropy.MAX_ENTRIES)));
        }
        return buckets.isEmpty() ? List.of()
            : List.of(new DisseminationOutput.SendComparison(from, new AntiEntropy.Versions(buckets, entries)));
    }

    private List<Entry> entries(int bucket, List<MemberUpdate> members) {
        List<Entry> entries = new ArrayList<>();
        for (MemberUpdate member : members) {
            if (BucketHashes.bucketOf(member.name()) == bucket) {
                InstanceState state = member.isPresent() ? digest.latestState(member.name()) : null;
                MemberUpdate bare = new MemberUpdate(member.name(), "", member.epoch(), member.incarnation(),
                    member.state(), "");
                entries.add(new Entry(bare, epochOf(state), versionOf(state)));
            }
        }
        return entries;
    }

    /** Answers versions by what is newer on this side, and requests what is newer on the other. */
    List<DisseminationOutput> answerVersions(double now, String to, AntiEntropy.Versions theirs) {
        List<MemberUpdate> members = membership.snapshot();
        Map<String, Entry> listed = new HashMap<>();
        theirs.entries().forEach(e -> listed.put(e.member().name(), e));
        Set<Integer> buckets = new HashSet<>(theirs.buckets());
        Set<String> requested = new LinkedHashSet<>(listed.keySet());
        DeltaBuilder delta = new DeltaBuilder(datagramBytes);
        for (MemberUpdate member : members) {
            Entry entry = listed.get(member.name());
            if (entry == null) {
                if (member.isPresent() && buckets.contains(BucketHashes.bucketOf(member.name()))) {
                    delta.add(member, digest.agedState(member.name(), now));
                }
                continue;
            }
            InstanceState state = member.isPresent() ? digest.state(member.name()) : null;
            delta.add(member.overrides(entry.member()) ? member : null,
                state != null && entry.isOlderThan(state) ? digest.agedState(member.name(), now) : null);
            if (!entry.member().overrides(member) && !entry.isNewerThan(digest.latestState(member.name()))) {
                requested.remove(member.name());
            }
        }
        // Updates of absent members that are unknown here would be ignored.
        requested.removeIf(name -> !listed.get(name).member().isPresent()
            && members.stream().noneMatch(m -> m.name().equals(name)));
        return delta.build(to, new ArrayList<>(requested));
    }

    /** Answers the request in a delta, if there is one. */
    List<DisseminationOutput> answerDelta(double now, String to, AntiEntropy.Delta theirs) {
        if (theirs.requested().isEmpty()) {
            return List.of();
        }
        Set<String> names = new HashSet<>(theirs.requested());
        DeltaBuilder delta = new DeltaBuilder(datagramBytes);
        for (MemberUpdate member : membership.snapshot()) {
            if (names.contains(member.name())) {
                delta.add(member, member.isPresent() ? digest.agedState(member.name(), now) : null);
            }
        }
        return delta.build(to, List.of());
    }
}
