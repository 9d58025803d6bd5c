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
import kelphollow.membership.Membership;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.MemberUpdate.State;

/**
 * Decides what of the digest is told to whom and when. What is new here goes on as a rumour; once a period the view is
 * compared with a random member by a summary, and only what differs follows. All that can wait, waits while the budget of
 * bytes is spent. For one thread; a call's cost is at most proportional to the members, memory to the parts held.
 */
public final class Dissemination {
    // What a datagram carries at most beside its header and seal, in bytes: with them it stays under an Ethernet frame.
    private static final int DATAGRAM = 1_200;
    // Parts on the back of a membership message, in bytes: it pays the header and seal anyway.
    private static final int ON_BACK = 400;
    // Datagrams of one side of a comparison at most: as many as one list of versions can ask for.
    private static final int DELTAS = 4;
    // An entry of Versions or a News in CBOR beside its name, in bytes; names wanted cost their length and two.
    private static final int ENTRY = 24, NEWS = 48, NAME = 2;
    // Of the budget, what rumours that can wait may take: where much is new, comparisons move each part about once, rumours
    // several times.
    private static final double RUMOURS = 0.3;
    // The same for what is urgent, which does not wait for what membership owes: a drain may come with a zone's loss.
    private static final double URGENT = 0.3;
    // A datagram's header and seal, in bytes, within some.
    private static final int OVERHEAD = 110;
    // A routine round in milliseconds: changes wait for each other, so that they share a header and a seal.
    private static final double ROUTINE_ROUND = 100;

    /**
     * @param bytesPerSecond what an instance sends a second, all kinds counted, before what can wait waits
     * @param comparePeriod milliseconds between comparisons, on average, while views agree
     * @param compareSoon milliseconds to the next comparison after one that found a difference
     * @param urgentFanout members that are told of what is urgent in a round
     * @param routineFanout members that are told of other changes in a round
     * @param urgentTellings how often an urgent part is told, as a multiple of ln(size)
     * @param routineTellings the same for other changes
     */
    public record Settings(double bytesPerSecond, double comparePeriod, double compareSoon, int urgentFanout,
                           int routineFanout, double urgentTellings, double routineTellings) {
        /** What an instance uses unless its operator says otherwise. */
        public static final Settings USUAL = new Settings(12_000, 1_000, 150, 3, 2, 1.5, 1);

        /** The same with another budget. */
        public Settings withBudget(double bytes) {
            return new Settings(bytes, comparePeriod, compareSoon, urgentFanout, routineFanout, urgentTellings,
                routineTellings);
        }
    }

    private final Settings settings;
    private final String self;
    private final Membership members;
    private final Digest digest;
    private final RandomGenerator random;
    private final ByteBudget budget;
    private final ByteBudget rumourBudget;
    private final ByteBudget urgentBudget;
    private final StateGossipQueue rumours;
    private double routineAt, compareAt;

    /** {@code members}: whom it tells, and whose views it compares. */
    public Dissemination(Settings settings, String self, Membership members, Digest digest, RandomGenerator random,
        double now) {
        this.members = members;
        this.settings = settings;
        this.self = self;
        this.digest = digest;
        this.random = random;
        this.budget = new ByteBudget(settings.bytesPerSecond(), now);
        this.rumourBudget = new ByteBudget(settings.bytesPerSecond() * RUMOURS, now);
        this.urgentBudget = new ByteBudget(settings.bytesPerSecond() * URGENT, now);
        this.rumours = new StateGossipQueue(settings.urgentTellings(), settings.routineTellings());
        this.compareAt = now + random.nextDouble() * settings.comparePeriod();
    }

    /** What was sent, by whatever part of the program, is charged here. */
    public void sent(double now, long bytes) {
        budget.spend(now, bytes);
    }

    /** Whether a full exchange may be begun, or answered in full. */
    public boolean allowsExchange(double now) {
        return budget.allowsDebt(now);
    }

    // ---------------------------------------------------------------- rumours

    /** Makes the own changes a version and a rumour; returns whether there were any. */
    public boolean publish(double now) {
        InstanceState before = digest.part(self);
        if (!digest.publish(now)) {
            return false;
        }
        rumours.add(self, digest.tellsNewDrain(digest.part(self), before));
        return true;
    }

    /** Merges parts that came as rumours; what is new goes on. Returns whether there was any. */
    public boolean heard(double now, List<InstanceState> parts) {
        Map<String, Boolean> urgent = new HashMap<>();
        parts.forEach(p -> urgent.put(p.instance(), digest.tellsNewDrain(p, digest.part(p.instance()))));
        List<InstanceState> news = digest.merge(now, parts);
        news.forEach(p -> rumours.add(p.instance(), urgent.get(p.instance())));
        Set<String> fresh = new HashSet<>();
        news.forEach(p -> fresh.add(p.instance()));
        for (InstanceState part : parts) {
            InstanceState held = fresh.contains(part.instance()) ? null : digest.part(part.instance());
            if (held != null && !held.replaces(part)) {
                rumours.heardAgain(part.instance(), members.size());
            }
        }
        return !news.isEmpty();
    }

    /** Whether something waits that should be known everywhere at once. */
    public boolean hasUrgent() {
        return rumours.hasUrgent();
    }

    /** Parts that ride on a message of membership. */
    public List<InstanceState> onBack(double now) {
        return rumours.hasUrgent() || allowsRumours(now) ? next(now, ON_BACK, 0, !allowsRumours(now)) : List.of();
    }

    /** What is due by now; to be called every few tens of milliseconds, and at once after an urgent change. */
    public List<Output> round(double now) {
        List<Output> out = new ArrayList<>();
        if (rumours.hasUrgent() && urgentBudget.allowsRoutine(now)) {
            tell(now, settings.urgentFanout(), true, out);
        } else if (!rumours.isEmpty() && now >= routineAt && allowsRumours(now)) {
            routineAt = now + ROUTINE_ROUND;
            tell(now, settings.routineFanout(), false, out);
        }
        if (now >= compareAt) {
            compareAt = now + settings.comparePeriod() * (0.5 + random.nextDouble());
            List<String> present = members.present();
            if (budget.allowsRoutine(now) && !present.isEmpty()) {
                out.add(new Output.Compare(present.get(random.nextInt(present.size())),
                    new AntiEntropy.Summary(hashes(members.all()))));
            }
        }
        return out;
    }

    private boolean allowsRumours(double now) {
        return budget.allowsRoutine(now) && rumourBudget.allowsRoutine(now);
    }

    private List<InstanceState> next(double now, int mostBytes, int overhead, boolean urgentOnly) {
        List<InstanceState> parts = rumours.next(now, digest, members.size(), mostBytes, urgentOnly);
        if (!parts.isEmpty()) {
            ByteBudget share = urgentOnly ? urgentBudget : rumourBudget;
            share.spend(now, overhead + parts.stream().mapToLong(InstanceState::estimatedBytes).sum());
        }
        return parts;
    }

    private void tell(double now, int fanout, boolean urgentOnly, List<Output> out) {
        List<String> present = members.present();
        Set<String> to = new LinkedHashSet<>();
        for (int i = 0; i < fanout && !present.isEmpty(); i++) {
            to.add(present.get(random.nextInt(present.size())));
        }
        for (String other : to) {
            List<InstanceState> parts = next(now, DATAGRAM, OVERHEAD, urgentOnly);
            if (!parts.isEmpty()) {
                out.add(new Output.Tell(other, parts));
            }
        }
    }

    // ---------------------------------------------------------------- anti-entropy

    private List<Integer> hashes(List<MemberUpdate> all) {
        BucketHashes hashes = new BucketHashes();
        for (MemberUpdate n : all) {
            if (isPresent(n)) {
                InstanceState part = digest.newest(n.name());
                hashes.add(n, part == null ? -1 : part.epoch(), part == null ? -1 : part.version());
            }
        }
        return hashes.list();
    }

    private static boolean isPresent(MemberUpdate n) {
        return n.state() == State.ALIVE || n.state() == State.SUSPECT;
    }

    /** The answer to a step of a comparison, if one is due. What the step carries is the caller's to merge, afterwards. */
    public List<Output> answer(double now, String from, AntiEntropy message) {
        if (!budget.allowsRoutine(now)) {
            return List.of();
        }
        if (message instanceof AntiEntropy.Summary summary) {
            return differing(from, summary, members.all());
        }
        if (message instanceof AntiEntropy.Versions versions) {
            compareAt = Math.min(compareAt, now + settings.compareSoon() * (0.5 + random.nextDouble()));
            return delta(now, from, versions, members.all());
        }
        return wanted(now, from, (AntiEntropy.Delta) message, members.all());
    }

    private List<Output> differing(String from, AntiEntropy.Summary summary, List<MemberUpdate> all) {
        List<Integer> ours = hashes(all);
        List<Integer> buckets = new ArrayList<>();
        List<AntiEntropy.Entry> entries = new ArrayList<>();
        int first = random.nextInt(BucketHashes.BUCKETS), bytes = 0;
        for (int i = 0; i < BucketHashes.BUCKETS && bytes < DATAGRAM; i++) {
            int bucket = (first + i) % BucketHashes.BUCKETS;
            if (ours.get(bucket).equals(summary.hashes().get(bucket))) {
                continue;
            }
            List<AntiEntropy.Entry> some = entries(bucket, all);
            bytes += some.stream().mapToInt(e -> e.member().name().length() + ENTRY).sum();
            if (!buckets.isEmpty() && (bytes > DATAGRAM || entries.size() + some.size() > AntiEntropy.MOST_ENTRIES)) {
                break;
            }
            buckets.add(bucket);
            entries.addAll(some.subList(0, Math.min(some.size(), AntiEntropy.MOST_ENTRIES)));
        }
        return buckets.isEmpty() ? List.of() : List.of(new Output.Compare(from, new AntiEntropy.Versions(buckets, entries)));
    }

    private List<AntiEntropy.Entry> entries(int bucket, List<MemberUpdate> all) {
        List<AntiEntropy.Entry> entries = new ArrayList<>();
        for (MemberUpdate n : all) {
            if (BucketHashes.bucket(n.name()) == bucket) {
                InstanceState part = isPresent(n) ? digest.newest(n.name()) : null;
                entries.add(new AntiEntropy.Entry(new MemberUpdate(n.name(), "", n.epoch(), n.incarnation(), n.state(), ""),
                    part == null ? -1 : part.epoch(), part == null ? -1 : part.version()));
            }
        }
        return entries;
    }

    private List<Output> delta(double now, String to, AntiEntropy.Versions theirs, List<MemberUpdate> all) {
        Map<String, AntiEntropy.Entry> listed = new HashMap<>();
        theirs.entries().forEach(e -> listed.put(e.member().name(), e));
        Set<Integer> buckets = new HashSet<>(theirs.buckets());
        Set<String> wanted = new LinkedHashSet<>(listed.keySet());
        Filling filling = new Filling();
        for (MemberUpdate n : all) {
            AntiEntropy.Entry entry = listed.get(n.name());
            InstanceState part = isPresent(n) ? digest.part(n.name()) : null;
            if (entry == null) {
                if (isPresent(n) && buckets.contains(BucketHashes.bucket(n.name()))) {
                    filling.add(n, digest.aged(n.name(), now));
                }
                continue;
            }
            filling.add(n.overrides(entry.member()) ? n : null,
                part != null && entry.isOlderThan(part) ? digest.aged(n.name(), now) : null);
            if (!entry.member().overrides(n) && !entry.isNewerThan(digest.newest(n.name()))) {
                wanted.remove(n.name());
            }
        }
        // Who is not known here and not there is nobody's concern.
        wanted.removeIf(name -> !isPresent(listed.get(name).member()) && all.stream().noneMatch(n -> n.name().equals(name)));
        return filling.output(to, new ArrayList<>(wanted));
    }

    private List<Output> wanted(double now, String to, AntiEntropy.Delta delta, List<MemberUpdate> all) {
        if (delta.wanted().isEmpty()) {
            return List.of();
        }
        Set<String> names = new HashSet<>(delta.wanted());
        Filling filling = new Filling();
        for (MemberUpdate n : all) {
            if (names.contains(n.name())) {
                filling.add(n, isPresent(n) ? digest.aged(n.name(), now) : null);
            }
        }
        return filling.output(to, List.of());
    }

    /** Some datagrams' worth of news and parts: what does not fit is found by a later comparison. */
    private static final class Filling {
        private final List<AntiEntropy.Delta> full = new ArrayList<>();
        private List<MemberUpdate> news = new ArrayList<>();
        private List<InstanceState> parts = new ArrayList<>();
        private int bytes;

        void add(MemberUpdate n, InstanceState part) {
            int size = (n == null ? 0 : NEWS + n.name().length()) + (part == null ? 0 : part.estimatedBytes());
            if (full.size() >= DELTAS || size == 0) {
                return;
            }
            if (bytes > 0 && (bytes + size > DATAGRAM || news.size() + parts.size() >= AntiEntropy.MOST_ENTRIES)) {
                next(List.of());
                if (full.size() >= DELTAS) {
                    return;
                }
            }
            if (n != null) {
                news.add(n);
            }
            if (part != null) {
                parts.add(part);
            }
            bytes += size;
        }

        private void next(List<String> wanted) {
            AntiEntropy.Delta delta = new AntiEntropy.Delta(news, parts, wanted);
            if (!delta.isEmpty()) {
                full.add(delta);
            }
            news = new ArrayList<>();
            parts = new ArrayList<>();
            bytes = 0;
        }

        List<Output> output(String to, List<String> wanted) {
            int room = DATAGRAM, names = 0;
            for (String name : wanted) {
                room -= NAME + name.length();
                if (room < 0 || names >= AntiEntropy.MOST_ENTRIES) {
                    break;
                }
                names++;
            }
            next(List.of());
            next(wanted.subList(0, names));
            return full.stream().<Output>map(delta -> new Output.Compare(to, delta)).toList();
        }
    }
}
