package kelphollow.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import kelphollow.membership.MemberUpdate.State;
import kelphollow.membership.Output.Event;
import kelphollow.membership.Output.Exchange;
import kelphollow.membership.Output.Kind;
import kelphollow.membership.Output.Raised;
import kelphollow.membership.Output.Send;

/**
 * One instance's view of the fleet and what it does about it. Whoever owns it calls {@link #tick} when
 * {@link #nextAt} has come, hands in what comes from others, and carries out the outputs. Work a call is bounded by
 * the size of the message, memory by {@link Settings#mostMembers}. For one thread.
 *
 * <p>Reading order: {@link #tick} (the round: SWIM sections 3.1 and 4.3), {@link #received} (one case a message kind),
 * {@link #hear} (what news does), {@link #hearOfSelf} (refutation, displacement), {@link #expire} (suspicion).
 */
public final class Membership {
    // Views are compared with a living member once in so many tries at absent ones.
    private static final int COMPARE = 4;
    // A helper says that the one it asked is silent at this part of the time-out, so that its word is there in time.
    private static final double NACK_PART = 0.8;
    // A leave is told at once to so many members; the others hear of it from those.
    private static final int FAREWELLS = 8;

    /** A member as this instance sees it, since when, and where it says it is reached. */
    public record View(String name, State state, long epoch, long incarnation, double since, String address) {}

    private static final class Member {
        MemberUpdate news;
        double since;

        Member(MemberUpdate news, double since) {
            this.news = news;
            this.since = since;
        }
    }

    /** The probe of this round. */
    private static final class Probe {
        final String target;
        final long number;
        final double directBy, endsAt;
        int asked, nacks;
        boolean indirect;

        Probe(String target, long number, double directBy, double endsAt) {
            this.target = target;
            this.number = number;
            this.directBy = directBy;
            this.endsAt = endsAt;
        }
    }

    /** A probe made for another. */
    private record Errand(String forWhom, long theirNumber, double nackAt, boolean nacked, double endsAt) {}

    private final Settings settings;
    private final String self;
    private final String address;
    private final List<String> peers;
    private final RandomGenerator random;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Map<Long, Errand> errands = new HashMap<>();
    private final GossipQueue rumours = new GossipQueue();
    private final LocalHealth health;
    private final List<String> ring = new ArrayList<>();
    private List<Output> out = new ArrayList<>();
    private MemberUpdate me;
    private Probe probe;
    private double now, roundAt, spreadAt = Double.POSITIVE_INFINITY, rejoinAt;
    private long numbers, passedOver;
    private int tries;
    private boolean displaced, left;

    /**
     * @param address where this instance says it is reached
     * @param epoch this life's number, higher than that of any life before
     * @param peers names to try when nobody else is known; this instance's own is passed over
     */
    public Membership(Settings settings, String self, String address, long epoch, Collection<String> peers,
        RandomGenerator random, double now) {
        this.settings = settings;
        this.self = self;
        this.address = address;
        this.peers = peers.stream().filter(p -> !p.equals(self)).sorted().toList();
        this.random = random;
        this.now = now;
        this.health = new LocalHealth(settings.healthMost());
        this.me = new MemberUpdate(self, address, epoch, 0, State.ALIVE, "");
        this.roundAt = now + random.nextDouble() * settings.period();   // full jitter: instances start together
        this.rejoinAt = now;
        rumours.add(me);
    }

    // ---------------------------------------------------------------- time

    /** When {@link #tick} is due next. */
    public double nextAt() {
        double next = Math.min(rejoinAt, left || displaced ? Double.POSITIVE_INFINITY : Math.min(roundAt, spreadAt));
        if (probe != null) {
            next = Math.min(next, probe.indirect ? probe.endsAt : probe.directBy);
        }
        for (Suspicion s : suspicions.values()) {
            next = Math.min(next, s.endsAt());
        }
        for (Errand e : errands.values()) {
            next = Math.min(next, e.nacked ? e.endsAt : e.nackAt);
        }
        return next;
    }

    /** What is due by now. A clock that jumped since it was due tells of a standstill of this instance. */
    public List<Output> tick(double at) {
        pass(at);
        if (left) {
            return flush();
        }
        expire();
        runErrands();
        if (probe != null && !probe.indirect && now >= probe.directBy) {
            askOthers();
        }
        if (probe != null && now >= probe.endsAt) {
            endProbe();
        }
        if (!displaced && now >= roundAt) {
            roundAt = now + health.stretch(settings.period());
            beginProbe();
        }
        if (now >= rejoinAt) {
            rejoinAt = now + settings.rejoin() * 2 * random.nextDouble();   // full jitter round the mean
            rejoin();
        }
        if (!displaced && now >= spreadAt) {
            spread();
        }
        return flush();
    }

    /** Lifeguard: a slow instance accuses nobody. What it slept through does not count against the others. */
    private void pass(double at) {
        double due = Math.max(now, Math.min(nextAt(), at));
        double stood = at - due;
        now = Math.max(now, at);
        if (stood <= settings.standstill()) {
            return;
        }
        suspicions.values().forEach(s -> s.shift(stood));
        probe = null;
        errands.clear();
        health.add(2);
        roundAt = Math.max(roundAt, now);
        rejoinAt = now;                    // others may have given this one up meanwhile
        out.add(new Event(Kind.STOOD_STILL, self, me.epoch(), "for " + (long) stood + " ms"));
    }

    private List<Output> flush() {
        List<Output> result = out;
        out = new ArrayList<>();
        return result;
    }

    // ---------------------------------------------------------------- probing

    /** SWIM section 4.3: members are probed in turn, in an order that is drawn anew after each pass. */
    private void beginProbe() {
        if (probe != null) {
            return;                        // stretched by ill health: the last one still has time
        }
        String target = null;
        while (target == null) {
            if (ring.isEmpty()) {
                members.forEach((name, m) -> {
                    if (present(m)) ring.add(name);
                });
                if (ring.isEmpty()) {
                    return;
                }
                shuffle(ring);
            }
            String next = ring.remove(ring.size() - 1);
            Member m = members.get(next);
            target = m != null && present(m) ? next : null;
        }
        double timeout = health.stretch(settings.timeout()), period = health.stretch(settings.period());
        probe = new Probe(target, ++numbers, now + timeout, now + period);
        ping(target, probe.number);
    }

    private static boolean present(Member m) {
        return m.news.state() == State.ALIVE || m.news.state() == State.SUSPECT;
    }

    /** Lifeguard's buddy system: a suspect hears of the suspicion with the very probe that may clear it. */
    private void ping(String target, long number) {
        MemberUpdate of = members.get(target).news;
        send(target, new Message.Ping(number, target, news(of.state() == State.SUSPECT ? of : null)));
    }

    private void askOthers() {
        probe.indirect = true;
        List<String> helpers = others(probe.target);
        for (String helper : helpers.subList(0, Math.min(settings.relays(), helpers.size()))) {
            probe.asked++;
            send(helper, new Message.PingRequest(probe.number, probe.target, news(null)));
        }
    }

    private void endProbe() {
        Probe ended = probe;
        probe = null;
        // Lifeguard: a helper that did not even say that the target is silent tells of this instance's own line.
        health.add(1 + Math.max(0, ended.asked - ended.nacks));
        Member m = members.get(ended.target);
        if (m != null && m.news.state() == State.ALIVE) {
            hear(m.news.as(State.SUSPECT, self), "no answer");
        } else if (m != null && m.news.state() == State.SUSPECT) {
            confirm(m.news.as(State.SUSPECT, self));
        }
    }

    private void runErrands() {
        for (Map.Entry<Long, Errand> e : List.copyOf(errands.entrySet())) {
            Errand errand = e.getValue();
            if (!errand.nacked && now >= errand.nackAt) {
                send(errand.forWhom, new Message.Nack(errand.theirNumber, news(null)));
                errands.put(e.getKey(), new Errand(errand.forWhom, errand.theirNumber, errand.nackAt, true, errand.endsAt));
            } else if (now >= errand.endsAt) {
                errands.remove(e.getKey());
            }
        }
    }

    // ---------------------------------------------------------------- messages

    /** One datagram from another instance, whose name the line has proved. */
    public List<Output> received(double at, String from, Message message) {
        pass(at);
        if (left) {
            return flush();
        }
        message.news().forEach(n -> hear(n, "told by " + from));
        if (message instanceof Message.Ping ping) {
            if (ping.to().equals(self) && !displaced) {
                send(from, new Message.Ack(ping.number(), news(null)));
            }
        } else if (message instanceof Message.PingRequest request) {
            Member target = members.get(request.target());
            if (!displaced && target != null && present(target) && errands.size() < settings.mostMembers()) {
                long number = ++numbers;
                errands.put(number, new Errand(from, request.number(), now + NACK_PART * settings.timeout(), false,
                    now + settings.period()));
                ping(request.target(), number);
            }
        } else if (message instanceof Message.Ack ack) {
            Errand errand = errands.remove(ack.number());
            if (errand != null) {
                send(errand.forWhom, new Message.Ack(errand.theirNumber, news(null)));
            } else if (probe != null && probe.number == ack.number()) {
                health.add(probe.indirect ? 0 : -1);
                probe = null;
            }
        } else if (message instanceof Message.Nack nack && probe != null && probe.number == nack.number()) {
            probe.nacks++;
        }
        return flush();
    }

    /** All that is known, this instance first: one side of a full exchange. */
    public List<MemberUpdate> all() {
        List<MemberUpdate> all = new ArrayList<>();
        all.add(me);
        members.values().forEach(m -> all.add(m.news));
        return all;
    }

    /**
     * The other side of a full exchange. Whom it holds for dead and this instance for present is suspected, no more, and
     * may say otherwise. Guards against two halves that find together again and take over each other's dead.
     */
    public List<Output> told(double at, String from, List<MemberUpdate> all) {
        pass(at);
        if (!left) {
            for (MemberUpdate n : all.subList(0, Math.min(all.size(), settings.mostMembers()))) {
                Member m = members.get(n.name());
                boolean doubtful = n.state() == State.DEAD && m != null && present(m);
                hear(doubtful ? n.as(State.SUSPECT, from) : n, "told by " + from);
            }
        }
        return flush();
    }

    /** Says good-bye; from now on nothing more comes of this instance. */
    public List<Output> leave(double at) {
        pass(at);
        if (!left && !displaced) {
            me = me.as(State.LEFT, "");
            List<String> all = others(null);
            for (String other : all.subList(0, Math.min(FAREWELLS, all.size()))) {
                send(other, new Message.Gossip(List.of(me)));
            }
        }
        left = true;
        return flush();
    }

    // ---------------------------------------------------------------- news

    private void hear(MemberUpdate n, String why) {
        if (n.name().equals(self)) {
            hearOfSelf(n);
            return;
        }
        Member m = members.get(n.name());
        if (m == null) {
            // Who is not known and not there is nobody's concern, and a list that lies stays bounded.
            if (n.state() == State.ALIVE || n.state() == State.SUSPECT) {
                if (!room()) {
                    passedOver++;
                    return;
                }
                members.put(n.name(), new Member(n.as(State.ALIVE, ""), now));
                out.add(new Event(Kind.JOINED, n.name(), n.epoch(), why));
                rumour(n);
                if (n.state() == State.SUSPECT) {
                    hear(n, why);
                }
            }
            return;
        }
        if (!n.overrides(m.news)) {
            if (n.state() == State.SUSPECT) {
                confirm(n);
            }
            rumours.heardAgain(n, count());
            return;
        }
        MemberUpdate before = m.news;
        m.news = n;
        m.since = now;
        suspicions.remove(n.name());
        rumour(n);
        switch (n.state()) {
            case ALIVE -> {
                if (before.epoch() != n.epoch() || before.state() == State.LEFT) {
                    out.add(new Event(Kind.JOINED, n.name(), n.epoch(), why));
                } else if (before.state() != State.ALIVE) {
                    out.add(new Event(Kind.CLEARED, n.name(), n.epoch(), why));
                }
            }
            case SUSPECT -> {
                double least = settings.suspicionLeast() * Math.max(1, Math.log10(count() + 1)) * settings.period();
                // As many can confirm as there are beside the suspect and its first accuser.
                int confirmations = Math.min(settings.confirmations(), count() - 2);
                suspicions.put(n.name(), new Suspicion(now, least, confirmations < 1 ? least
                    : least * settings.suspicionMost(), Math.max(1, confirmations), n.by()));
                if (before.state() != State.SUSPECT) {
                    out.add(new Event(Kind.SUSPECTED, n.name(), n.epoch(), why));
                }
            }
            case DEAD -> out.add(new Event(Kind.FAILED, n.name(), n.epoch(), why));
            case LEFT -> out.add(new Event(Kind.LEFT, n.name(), n.epoch(), why));
        }
    }

    /** Others are refuted by a higher incarnation; a later life under this name makes this one give way. */
    private void hearOfSelf(MemberUpdate n) {
        boolean gone = n.state() == State.DEAD || n.state() == State.LEFT;
        if (n.epoch() > me.epoch()) {
            if (gone || n.address().equals(address)) {
                raise(n.epoch() + 1);      // this life's own past: its store was lost
            } else if (!displaced) {
                displaced = true;
                probe = null;
                out.add(new Event(Kind.DISPLACED, self, n.epoch(), "another lives at " + n.address()));
            }
        } else if (n.epoch() == me.epoch()) {
            if (n.state() == State.LEFT) {
                raise(n.epoch() + 1);
            } else if (n.state() != State.ALIVE && n.incarnation() >= me.incarnation()) {
                me = new MemberUpdate(self, address, me.epoch(), n.incarnation() + 1, State.ALIVE, "");
                health.add(1);
                rumour(me);
                out.add(new Event(Kind.REFUTED, self, me.epoch(), n.state() + " by " + n.by()));
            } else if (n.state() == State.ALIVE && n.incarnation() > me.incarnation()) {
                me = new MemberUpdate(self, address, me.epoch(), n.incarnation(), State.ALIVE, "");
            }
        }
    }

    private void raise(long epoch) {
        displaced = false;
        me = new MemberUpdate(self, address, epoch, 0, State.ALIVE, "");
        rumour(me);
        out.add(new Raised(epoch));
    }

    private void confirm(MemberUpdate n) {
        Member m = members.get(n.name());
        Suspicion s = suspicions.get(n.name());
        if (m != null && s != null && m.news.epoch() == n.epoch() && m.news.incarnation() == n.incarnation()
            && s.confirm(n.by())) {
            rumour(n);                     // an independent accusation is worth passing on
        }
    }

    private void expire() {
        for (String name : List.copyOf(suspicions.keySet())) {
            if (now >= suspicions.get(name).endsAt()) {
                hear(members.get(name).news.as(State.DEAD, self), "suspected for too long");
            }
        }
    }

    private void rumour(MemberUpdate n) {
        rumours.add(n);
        spreadAt = Math.min(spreadAt, now + settings.spread());
    }

    /** Makes room by forgetting who has been gone longest; the living are never forgotten. */
    private boolean room() {
        if (members.size() < settings.mostMembers() - 1) {
            return true;
        }
        String oldest = null;
        for (Map.Entry<String, Member> e : members.entrySet()) {
            if (!present(e.getValue()) && (oldest == null || e.getValue().since < members.get(oldest).since)) {
                oldest = e.getKey();
            }
        }
        return oldest != null && members.remove(oldest) != null;
    }

    // ---------------------------------------------------------------- telling

    private void spread() {
        List<String> to = others(null);
        if (rumours.isEmpty() || to.isEmpty()) {
            spreadAt = Double.POSITIVE_INFINITY;
            return;
        }
        for (String other : to.subList(0, Math.min(settings.fanout(), to.size()))) {
            List<MemberUpdate> some = news(null);
            if (!some.isEmpty()) {
                send(other, new Message.Gossip(some));
            }
        }
        spreadAt = rumours.isEmpty() ? Double.POSITIVE_INFINITY : now + settings.spread();
    }

    /** Heals partitions, and views that lost messages left apart: absent members are tried, living ones compared. */
    private void rejoin() {
        List<String> absent = new ArrayList<>(peers);
        absent.removeIf(p -> members.containsKey(p) && present(members.get(p)));
        members.forEach((name, m) -> {
            if (m.news.state() == State.DEAD && !absent.contains(name)) absent.add(name);
        });
        List<String> there = others(null);
        boolean compare = ++tries % COMPARE == 0 || absent.isEmpty();
        List<String> from = compare && !there.isEmpty() ? there : absent;
        if (!from.isEmpty()) {
            out.add(new Exchange(from.get(random.nextInt(from.size()))));
        }
    }

    private List<MemberUpdate> news(MemberUpdate first) {
        return rumours.next(settings.mostNews(), count(), first);
    }

    private void send(String to, Message message) {
        out.add(new Send(to, message));
    }

    /** Present members but {@code not}, in an order drawn anew. */
    private List<String> others(String not) {
        List<String> names = new ArrayList<>();
        members.forEach((name, m) -> {
            if (present(m) && !name.equals(not)) names.add(name);
        });
        shuffle(names);
        return names;
    }

    private void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, random.nextInt(i + 1));
        }
    }

    // ---------------------------------------------------------------- the view

    private int count() {
        int count = 1;
        for (Member m : members.values()) {
            count += present(m) ? 1 : 0;
        }
        return count;
    }

    /** This instance first, then all others it knows of, by name. */
    public List<View> view() {
        List<View> view = new ArrayList<>();
        view.add(new View(self, me.state(), me.epoch(), me.incarnation(), 0, address));
        members.forEach((name, m) -> view.add(new View(name, m.news.state(), m.news.epoch(), m.news.incarnation(),
            m.since, m.news.address())));
        return view;
    }

    /** Names of the others that count as there, suspects among them, by name. */
    public List<String> present() {
        return members.entrySet().stream().filter(e -> present(e.getValue())).map(Map.Entry::getKey).toList();
    }

    /** How many count as there, this instance included. */
    public int size() {
        return count();
    }

    /** Whether a member counts as there, suspects included. */
    public boolean isPresent(String name) {
        Member m = members.get(name);
        return m != null && present(m);
    }

    /** Where a member says that it is reached, or null if it is not known. */
    public String address(String name) {
        Member m = members.get(name);
        return m == null ? null : m.news.address();
    }

    /** The epoch under which this instance lives. */
    public long epoch() {
        return me.epoch();
    }

    /** Whether a later life under this name has made this one give way. */
    public boolean displaced() {
        return displaced;
    }

    /** Lifeguard's multiplier: 0 when this instance seems well. */
    public int illHealth() {
        return health.score();
    }

    /** News of instances for which there was no room. */
    public long passedOver() {
        return passedOver;
    }
}
