package kelphollow.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.AttemptProgressed;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointLeaseRenewed;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointSourceChanged;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.LimitsRestored;
import kelphollow.decision.ControlEvent.NodesSuspected;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.SettingsChanged;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;

/**
 * All decisions of one host's instance. Its interface is {@link ControlSettings}, {@link ControlEvent} and
 * {@link ControlAction}.
 *
 * <p>Reading order: the constants; {@link #on}, which takes every event; {@link #arrive} and {@link Tags}
 * (arrival-curve tags after pClock); {@link #pump} and {@link #pick} (what leaves next, and where to);
 * {@link RateLimiter} (limits); {@link Node} (window, health, cold start); {@link #done} (outcomes, repeats);
 * {@link #expire} (answers before the deadline); {@link #learnList} (the node list).
 */
public final class Control {
    // The design's window: ceiling (binding), and a start of a few requests: two fill a node with few cores.
    static final int WINDOW_CEILING = 32;
    static final double WINDOW_START = 3;
    // Below one, a window is a pace: many hosts with one request each can already drown a node.
    static final double WINDOW_FLOOR = 0.25;
    // Latency within this multiple of the node's best is "near best": about one request waits per one served.
    static final double NEAR_BEST = 2.0;
    // Waiting at a node may take this part of the shortest aim; the rest is for chance and for waiting here.
    static final double AIM_PART = 0.5;
    // A request past its aim leaves only after so many latencies without a send: it must cost others nothing.
    static final double LATE_PACE = 12;
    // From this part of the shortest aim on, requests beyond the curve yield: one in so many latencies.
    static final double YIELD = 0.4;
    static final double YIELD_PACE = 2;
    // Multiplicative narrowing, at most once in a latency; mild, since one slow answer is mostly chance.
    static final double NARROW = 0.8;
    // Weight of a new latency: some ten answers, so that one long pause does not decide.
    static final double LEARN = 0.12;
    // What is known of a node's latency now fades over this time: queues turn within seconds.
    static final double AGE = 2_000;
    // The best latency is forgotten with this time constant: a node slowed for good gets a new best.
    static final double BEST_MEMORY = 30_000;
    // An answer counts as lost after so many times what it should take; it may still come.
    static final double CALM = 5;
    // Part of what a cold node bears that random admission gives out; the rest is for surges and for chance.
    static final double ADMISSION_CHANCE = 0.6;
    // Below so many mean requests sent to a cold node in a span, one more may go when none is out there.
    static final double SECOND = 1.5;
    // Time between two requests risked on a node that does not progress; also the longest back-off from it.
    static final double TRICKLE = 1_000;
    // First pause after a failed attempt, doubled for each further one in a row.
    static final double BACKOFF = 40;
    // How often held requests are looked at when nothing else happens.
    static final double SWEEP = 10;
    // Final answers leave this many ticks before the deadline, so that a late batch still holds the promise.
    static final double ANSWER_TICKS = 4;
    // A request that no node was given is given up by this part of its time: its client may come again.
    static final double HOLD_PART = 0.45;
    // From so many volumes on, those that have rested for so long are forgotten.
    static final int MANY_VOLUMES = 1_000;
    static final double VOLUME_MEMORY = 60_000;

    private final ControlSettings settings;
    private final Rules rules;
    private final Random random;
    private final double startedAt, shortestObjective;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Volume> volumes = new LinkedHashMap<>();
    private final Map<String, Request> open = new LinkedHashMap<>();
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final Map<String, KeyOrder> keyOrders = new LinkedHashMap<>();
    /** Requests held, by the cell that holds their data; -1 holds new objects that any node may take. */
    private final Map<Integer, PendingQueue> held = new LinkedHashMap<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(
        Comparator.comparingDouble(Due::at).thenComparingLong(d -> d.request.order));
    /** Levels of limits that an earlier life left, until their volume is seen. */
    private final Map<String, Double> limitsLeft = new HashMap<>();
    /** Further attempts against requests taken, as the rules count them; and each node's bound, if any. */
    private final RetryBudget budget;
    private RetryBudgetChanged repeats = new RetryBudgetChanged(0, 0);
    private final Tags tags = new Tags();
    private List<ControlAction> out = new ArrayList<>();
    private double now, wakeAt = Double.POSITIVE_INFINITY;
    private final EndpointPollSchedule listPace;
    private double leaveBy = Double.POSITIVE_INFINITY, listLeasedUntil = Double.POSITIVE_INFINITY;
    private double largest, around, aroundAt, maxAttempts;
    private long orders, planStamp;

    /** An instance that knows nothing but its settings; limits fill from now on. Call {@link #start} next. */
    public Control(ControlSettings settings, long seed, double now) {
        this.settings = settings;
        this.rules = settings.rules();
        this.random = new Random(seed * 0x9E3779B97F4A7C15L);   // hosts with near seeds must not draw alike
        this.startedAt = now;
        this.listPace = new EndpointPollSchedule(settings.hosts(), rules.pollInterval(), new SplittableRandom(seed));
        this.budget = new RetryBudget(rules.retryBudgetWindow(), rules.retryBudgetFree(), rules.retryBudgetShare(),
            settings.tick());
        this.now = now;
        this.maxAttempts = settings.maxAttempts();
        require(settings.hosts() > 0, "hosts must be at least 1");
        require(settings.maxAttempts() > 0, "maxAttempts must be at least 1");
        require(!settings.classes().isEmpty(), "classes is empty");
        require(!settings.plans().isEmpty(), "plans is empty");
        double aim = Double.POSITIVE_INFINITY;
        for (RequestClass c : settings.classes()) {
            require(c.latencyObjective() > 0, "aim of class " + c.name() + " must be above 0");
            classes.put(c.name(), c);
            aim = Math.min(aim, c.latencyObjective());
        }
        for (Plan p : settings.plans()) {
            require(p.rate() > 0, "rate of plan " + p.name() + " must be above 0");
            require(p.limitRate() >= 0 && p.limitBurst() >= 0, "limit of plan " + p.name() + " is negative");
            plans.put(p.name(), p);
        }
        this.shortestObjective = aim;
        this.around = aim / 3;
        this.aroundAt = now;
    }

    private static void require(boolean holds, String fault) {
        if (!holds) throw new IllegalArgumentException("settings: " + fault);
    }

    /** Whether the list comes only when asked for; {@link #start} then says when to ask first. */
    public boolean pollsEndpoints() {
        return settings.endpointsPolled();
    }

    /** The first actions of the instance. */
    public List<ControlAction> start() {
        if (settings.endpointsPolled()) listPace.started(now);
        askIfDue();
        planWake();
        return flush();
    }

    /** Takes one event at time {@code now} and answers with the actions it leads to, in order. */
    public List<ControlAction> on(double now, ControlEvent event) {
        this.now = Math.max(this.now, now);
        if (event instanceof RequestArrived a) {
            arrive(a);
        } else if (event instanceof AttemptEnded d) {
            done(d);
        } else if (event instanceof EndpointsReceived l) {
            learnList(l);
        } else if (event instanceof EndpointPollFailed f) {
            listPace.failed(this.now, f.failure() == EndpointPollFailure.REJECTED);
        } else if (event instanceof ShutdownStarted l) {
            leaveBy = l.deadline();
            for (Request r : open.values()) {
                r.answerAt = r.streaming ? leaveBy : Math.min(r.answerAt, leaveBy);
                dues.add(new Due(r.answerAt, r));
            }
        } else if (event instanceof SettingsChanged t) {
            t.classes().forEach(c -> classes.put(c.name(), c));
            maxAttempts = Math.max(1, t.maxAttempts());
        } else if (event instanceof LimitsRestored l) {
            limitsLeft.putAll(l.tokens());
        } else if (event instanceof NodesSuspected d) {
            for (Node n : nodes.values()) n.doubt(d.nodes().contains(n.id));
        } else if (event instanceof RetryBudgetChanged b) {
            repeats = b;
            for (Node n : nodes.values()) n.repeats = boundedRepeats();
        } else if (event instanceof EndpointLeaseRenewed l) {
            listLeasedUntil = l.validUntil();
        } else if (event instanceof EndpointSourceChanged) {
            listPace.moved(this.now);
        } else if (event instanceof ClientDisconnected g) {
            Request r = open.get(g.id());
            if (r != null) {
                callOff(r);
                close(r);
            }
        } else if (event instanceof ResponseStarted s) {
            Request r = open.get(s.id());
            if (r != null) r.streaming = true;
            Attempt a = attempts.get(s.id() + '#' + s.attempt());
            if (a != null) a.node.inFlight.remove(s.id() + '#' + s.attempt());   // it no longer waits there
        } else if (event instanceof AttemptProgressed p) {
            heard(p.id(), p.attempt());
        } else if (event instanceof TimerFired && this.now >= wakeAt - settings.tick()) {
            wakeAt = Double.POSITIVE_INFINITY;   // a clock that rounds may fire it a little early
        }
        askIfDue();
        expire();
        pump();
        planWake();
        return flush();
    }

    private void askIfDue() {
        if (listPace.takeDue(now)) out.add(new PollEndpoints());
    }

    /** The units left in this host's part of each limited volume's store, less what is owed of its loan. */
    public Map<String, Double> limitTokens() {
        Map<String, Double> levels = new TreeMap<>();
        volumes.forEach((name, v) -> {
            if (v.plan.limitRate() > 0) levels.put(name, v.limiter.tokensLessLoan(now));
        });
        return levels;
    }

    /** Nodes that failed to answer this instance itself, and how often it has tried each since. */
    public Map<String, Integer> unresponsiveNodes() {
        Map<String, Integer> silent = new TreeMap<>();
        for (Node n : nodes.values()) if (n.suspect() && !n.doubted) silent.put(n.id, n.tries);
        return silent;
    }

    /** How many nodes and volumes it keeps anything of. */
    int nodesKnown() { return nodes.size(); }

    int volumesKnown() { return volumes.size(); }

    private RetryBudget boundedRepeats() {
        return new RetryBudget(repeats.window(), 0, repeats.share(), settings.tick());
    }

    private void heard(String id, int number) {
        Attempt a = attempts.get(id + '#' + number);
        if (a != null) a.heardAt = now;
    }

    private List<ControlAction> flush() {
        List<ControlAction> actions = out;
        out = new ArrayList<>();
        return actions;
    }

    private void planWake() {
        double next = listPace.dueAt();
        held.values().removeIf(h -> h.size() == 0);   // shards that clients make up would pile up
        if (!held.isEmpty()) next = Math.min(next, now + SWEEP);
        if (!dues.isEmpty()) next = Math.min(next, dues.peek().at);
        if (next < wakeAt) {
            wakeAt = Math.max(next, now + settings.tick());
            out.add(new SetTimer(wakeAt, "wake"));
        }
    }

    // ---------------------------------------------------------------- requests

    private record Due(double at, Request request) {}

    private PendingQueue heldFor(Request r) { return held.computeIfAbsent(pinnedCell(r), c -> new PendingQueue()); }

    private static int pinnedCell(Request r) {
        boolean pinned = r.in.cell() < 0 && r.maybeRanAt != null && r.kind.deduplicationScope() == DeduplicationScope.CELL;
        return pinned ? r.maybeRanAt.cell : Math.max(-1, r.in.cell());
    }

    private void arrive(RequestArrived a) {
        if (open.containsKey(a.id())) return;
        budget.addFirstAttempt(now);
        RequestClass kind = classes.get(a.requestClass());
        Plan plan = plans.get(a.plan());
        if (kind == null || plan == null || !(a.units() >= 0)) {
            out.add(new RejectRequest(a.id(), 0, Reason.UNKNOWN_CLASS));   // it never ran
            return;
        }
        largest = Math.max(Math.max(largest, settings.meanUnits()), a.units());
        Request r = new Request();
        r.in = a;
        r.kind = kind;
        r.order = orders++;
        r.luck = random.nextDouble();
        r.arrived = now;
        r.answerAt = Math.min(leaveBy, a.deadline() - ANSWER_TICKS * settings.tick());
        r.holdUntil = now + HOLD_PART * (a.deadline() - now);
        // What lacks from the class's deadline was spent on earlier tries; the aim counts from the first.
        double spent = Math.max(0, kind.deadline() - (a.deadline() - now));
        r.objectiveAt = Math.min(now + kind.latencyObjective() - spent, r.answerAt);
        String name = a.volume() == null ? "" : a.volume();
        if (volumes.size() >= MANY_VOLUMES && !volumes.containsKey(name)) {
            // Guards memory against names that clients make up; a store that rested so long is full again.
            volumes.values().removeIf(v -> v.busy.isEmpty() && now - v.lastArrival > VOLUME_MEMORY);
        }
        r.volume = volumes.computeIfAbsent(name, n -> new Volume(plan, Math.max(1, a.hosts())));
        r.volume.limiter.setInstances(Math.max(1, a.hosts()), now);
        Double left = limitsLeft.isEmpty() ? null : limitsLeft.remove(name);
        if (left != null) r.volume.limiter.restore(left, now);
        open.put(a.id(), r);
        if (r.volume.limiter.holdsOnlyAfter(r.objectiveAt, a.units(), now)) {
            answer(r, Reason.RATE_LIMITED);
            return;
        }
        if (a.isRetry() && !mayComeAgain(a)) {
            answer(r, Reason.RETRY_BUDGET_EXHAUSTED);
            return;
        }
        r.late = now >= r.objectiveAt;
        // A repeat past its aim is still of some use to an idle node; if none is, it is given up at once.
        if (r.late) r.holdUntil = now + settings.tick();
        if (!r.late) {
            tags.tag(r);
            dues.add(new Due(r.objectiveAt, r));
        }
        dues.add(new Due(r.answerAt, r));
        dues.add(new Due(r.holdUntil, r));
        if (kind.ordered() && a.key() != null) {
            if (keyOrders.size() > 2 * open.size() + 64) {   // rested keys would pile up over the weeks
                keyOrders.values().removeIf(t -> t.waiting.isEmpty() && t.inFlight == 0 && now >= t.restUntil);
            }
            keyOrders.computeIfAbsent(a.key(), k -> new KeyOrder()).waiting.add(r);
        }
        heldFor(r).add(r);
    }

    /** A client's own retry takes its place in the node's repeats as it comes, whether it is sent or not. */
    private boolean mayComeAgain(RequestArrived a) {
        List<Node> at = nodes.values().stream().filter(n -> n.cell == a.cell() && n.usable).toList();
        boolean may = at.stream().allMatch(n -> n.repeats.allows(now));
        if (may) at.forEach(n -> n.repeats.addRetry(now));
        return may;
    }

    private boolean hasTurn(Request r) {
        if (!r.kind.ordered() || r.in.key() == null) return true;
        KeyOrder order = keyOrders.get(r.in.key());
        return order.waiting.peek() == r && order.inFlight == 0 && now >= order.restUntil;
    }

    // ---------------------------------------------------------------- tags

    /** A flow of the design: a volume at this host. */
    final class Volume {
        final Plan plan;
        final RateLimiter limiter;
        final ArrayDeque<Request> busy = new ArrayDeque<>();
        final UsageShare use = new UsageShare(now);
        double numTokens, maxS, minS, lastArrival = now, reserveLeft;
        double planLeft;
        long planStamp;
        double reserveAt = now;

        Volume(Plan plan, int hosts) {
            this.plan = plan;
            this.limiter = new RateLimiter(plan, hosts, startedAt);
            numTokens = sigma();
            maxS = now;
            reserveLeft = reserveDepth();
        }

        /** What share of its worth a held request earns: reserve, then the curve, then what is beyond. */
        double planned(Request r) {
            if (planStamp != Control.this.planStamp) {
                fillReserve();
                planStamp = Control.this.planStamp;
                planLeft = reserveLeft;
            }
            if (planLeft > 0) {
                planLeft -= r.in.units();
                return 1;
            }
            return r.startTag <= r.arrived + 1000 ? settings.quotaWeight() : settings.excessWeight();
        }

        /** Beyond the curve with the reserve spent: worth least, here and against other hosts' requests. */
        boolean isBeyond(Request r) {
            fillReserve();
            return r.startTag > r.arrived + 1000 && reserveLeft <= 0;
        }

        private void fillReserve() {
            double gained = (now - reserveAt) / 1000 * plan.reserve() * part();
            reserveLeft = Math.min(reserveDepth(), reserveLeft + gained);
            reserveAt = now;
        }

        void drawReserve(double units) {
            fillReserve();
            reserveLeft = Math.max(-units, reserveLeft - units);
        }

        double part() { return use.share(1.0 / limiter.instances(), settings.meanUnits()); }

        /** Rate of the arrival curve, units per second; its depth is one second of it. */
        double rho() {
            return plan.rate() * part();
        }

        /**
         * Depth of the curve: one second of it, or one largest request. With many hosts a second of a part is
         * less than any request, tokens would never reach one and every request would count as beyond.
         */
        double sigma() { return Math.max(rho(), largest); }

        private double reserveDepth() {
            return plan.reserve() > 0 ? Math.max(plan.reserve() * part(), largest) : 0;
        }
    }

    /** The design's arrival-curve tags: numTokens, MaxS and MinS per flow, and the resync shift. */
    private final class Tags {
        void tag(Request r) {
            Volume v = r.volume;
            double rho = v.rho();
            v.numTokens = Math.min(v.sigma(), v.numTokens + (now - v.lastArrival) / 1000 * rho);
            v.lastArrival = now;
            shift();
            if (v.numTokens >= 1) {
                r.startTag = now;
            } else {
                r.startTag = Math.max(v.maxS, now);
                v.maxS = r.startTag + r.in.units() / rho * 1000;
            }
            v.numTokens -= r.in.units();
            r.tokensSpent = true;
            r.finishTag = r.startTag + r.kind.latencyObjective();
            if (v.busy.isEmpty()) v.minS = r.startTag;
            v.busy.add(r);
        }

        /** When every busy flow runs ahead of the clock, all their tags move back by the smallest gap. */
        private void shift() {
            double gap = Double.POSITIVE_INFINITY;
            for (Volume v : volumes.values()) {
                if (!v.busy.isEmpty()) gap = Math.min(gap, v.minS - now);
            }
            if (gap <= 0 || gap == Double.POSITIVE_INFINITY) return;
            for (Volume v : volumes.values()) {
                if (!v.busy.isEmpty()) {
                    v.minS -= gap;
                    v.maxS -= gap;
                    for (Request r : v.busy) {     // all on-time requests move alike, so their order stands
                        r.startTag -= gap;
                        r.finishTag -= gap;
                    }
                }
            }
        }

        void sent(Request r) {
            if (!r.late) r.volume.minS = r.startTag;
            r.volume.busy.remove(r);
        }

        /**
         * Exception to the design: a request that leaves tag order unserved gives its tokens back and the
         * later ones of its flow move up. Without it a surge's own dead requests keep its MaxS ahead of the
         * clock, and the units inside its curve miss their aim too.
         */
        void giveBack(Request r) {
            Volume v = r.volume;
            v.busy.remove(r);
            if (!r.tokensSpent) return;
            r.tokensSpent = false;
            v.numTokens += r.in.units();
            double step = r.in.units() / v.rho() * 1000;
            v.maxS -= step;
            for (Request q : v.busy) {
                if (q.order > r.order && q.startTag > q.arrived) {
                    PendingQueue h = heldFor(q);
                    h.remove(q);
                    q.startTag = Math.max(q.arrived, q.startTag - step);
                    q.finishTag = q.startTag + q.kind.latencyObjective();
                    h.add(q);
                }
            }
            if (!v.busy.isEmpty()) v.minS = Math.min(v.minS, v.busy.peek().startTag);
        }
    }

    // ---------------------------------------------------------------- nodes

    /** One storage node as this host sees it. */
    final class Node {
        final String id;
        final String zone;
        final int cell;
        boolean usable, listed;
        double lastStart, toldAt;
        final Map<String, Attempt> inFlight = new LinkedHashMap<>();
        final ArrayDeque<double[]> sentUnits = new ArrayDeque<>();
        double window = WINDOW_START, latency, recent, perUnit, best = Double.POSITIVE_INFINITY;
        double bestAt = now, narrowedAt;
        double servedAt = now, sentAt = now, overtaken, trickleAt, errors;
        RetryBudget repeats = boundedRepeats();
        int failures, tries;
        boolean missed, named, doubted;

        Node(Endpoint e) {
            id = e.node();
            zone = e.zone();
            cell = e.cell();
        }

        /** Expected latency of a request of so many units. */
        double expected(double units) {
            return Math.max(perUnit, expected() + (units - settings.meanUnits()) * perUnit);
        }

        /**
         * What was last seen here, fading into what all nodes show now, and no less than the oldest attempt
         * is out. Guards against acting on old news: with many hosts each hears of a node every few seconds.
         */
        double expected() {
            for (Attempt a : inFlight.values()) {
                if (a.heardAt > overtaken && !lost(a)) return Math.max(usual(), now - a.heardAt);
            }
            return usual();
        }

        private double usual() { return recent > 0 ? fade(recent, servedAt, around()) : around(); }

        /**
         * Out for longer than answers take, and overtaken or the first of its kind: its answer may be lost.
         * It tells nothing of the node and holds no place there; a second one does.
         */
        private boolean lost(Attempt a) {
            if (now - a.heardAt <= CALM * usual()) return false;
            for (Attempt first : inFlight.values()) {
                if (first == a || a.heardAt <= overtaken) return true;
                if (first.heardAt > overtaken) return false;
            }
            return false;
        }

        /** How long to wait for a safe request's answer so that a repeat can meet the aim; 0: no limit. */
        double patience(Request r) {
            double took = expected(r.in.units()), spare = r.objectiveAt - now - took - 2 * settings.tick();
            return r.kind.idempotency() == Idempotency.IDEMPOTENT && !r.late && spare > CALM * took ? spare : 0;
        }

        /** Gone, and nothing is out there. Guards memory against nodes that come under ever new ids. */
        boolean isDone() {
            return !listed && inFlight.isEmpty();
        }

        boolean suspect() { return failures > 0; }

        /** Another's finding counts as one failure here, at the moment it is first told. */
        void doubt(boolean isNamed) {
            if (isNamed && !named && failures == 0) {
                doubted = true;
                failures = 1;
                trickleAt = now + TRICKLE * random.nextDouble();
            } else if (!isNamed && doubted) {
                doubted = false;
                failures = 0;
                trickleAt = 0;
            }
            named = isNamed;
        }

        double target() { return Math.min(NEAR_BEST * best, shortestObjective * AIM_PART); }

        /**
         * Exception to the design: as a node's latency nears the aim, what is beyond the curve leaves at a
         * pace only, and past the aim all does. What other hosts hold there inside their curves can't be
         * seen, only this latency; guards against excess from many hosts making every reserve late.
         */
        boolean pressed(Request r) {
            double part = r.volume.isBeyond(r) ? YIELD : 1;
            boolean paced = !inFlight.isEmpty() || now < sentAt + YIELD_PACE * expected();
            return paced && expected() > part * shortestObjective;
        }

        boolean takes(Request r) { return mayTake() && (!isCold() || coldAdmits(r)); }

        boolean mayTake() {
            if (!usable || now >= listLeasedUntil || now < trickleAt) return false;
            double room = suspect() ? Math.min(1, window) : window;
            double most = Math.max(1, Math.floor(room));
            if (inFlight.size() >= most) most += inFlight.values().stream().filter(this::lost).count();
            if (inFlight.size() >= most) return false;
            return room >= 1 || now >= sentAt + expected() / room;
        }

        /**
         * A cold node's rule. Where the host's part is under one request, on-time requests are admitted at
         * random, one in a span: most of what the rule bears if all that is asked is the node's whole power.
         * Without this a node that restarts under a hundred hosts would stay idle until it is warm.
         */
        private boolean coldAdmits(Request r) {
            double sent = sentWithin(), part = coldPart();
            if (sent + r.in.units() <= part) return true;
            boolean free = sent == 0 || inFlight.isEmpty() && sent < SECOND * settings.meanUnits();
            // What was held while the node was away leaves over as long as it may be held, not at once.
            double eased = r.arrived < toldAt ? Math.min(1, (now - toldAt) / (r.holdUntil - r.arrived)) : 1;
            return part < settings.meanUnits() && free && !r.late
                && r.luck < eased * ADMISSION_CHANCE * ramp() * rules.overloadMultiple();
        }

        private double ramp() {
            double share = Math.max(0.01, rules.slowStartShare());
            return share + (1 - share) * Math.max(0, now - lastStart) / rules.slowStartTime();
        }

        boolean isCold() { return lastStart > 0 && now - lastStart < rules.slowStartTime(); }

        /**
         * This host's part of what a cold node bears in a span of the rule, as the ramp stands: the cold
         * units, or more where the other nodes' best latencies tell of more. It counts one mean request at a
         * time, as if nodes had one core, so that all hosts' parts together leave room for a slower node.
         */
        double coldPart() {
            double[] bests = nodes.values().stream().filter(n -> !n.isCold() && n.latency > 0)
                .mapToDouble(n -> n.best).sorted().toArray();
            double known = bests.length == 0 ? 0
                : rules.overloadMultiple() * rules.overloadSpan() * settings.meanUnits() / bests[bests.length / 2];
            double sure = rules.slowStartUnits() / Math.max(0.01, rules.slowStartShare());
            return Math.max(sure, known) * ramp() / settings.hosts();
        }

        double sentWithin() {
            double sum = 0;
            while (!sentUnits.isEmpty() && sentUnits.peek()[0] < now - rules.overloadSpan() - settings.tick()) {
                sentUnits.poll();
            }
            for (double[] s : sentUnits) sum += s[1];
            return sum;
        }

        /** Learns from served answers only: a fast error must not look like a fast node. */
        void served(Attempt a, double took) {
            failures = tries = 0;
            missed = doubted = false;
            trickleAt = 0;
            errors *= 1 - LEARN;
            double units = Math.max(1, a.request.in.units()), each = took / units;
            perUnit = perUnit > 0 ? perUnit + (each < perUnit ? LEARN : LEARN / 5) * (each - perUnit) : each;
            double mean = Math.max(each, took + (settings.meanUnits() - units) * perUnit);
            double before = servedAt;
            overtaken = Math.max(overtaken, a.sentAt);
            servedAt = now;
            latency = latency > 0 ? latency + LEARN * (mean - latency) : mean;
            recent = recent > 0 ? mean + (1 - LEARN) * (fade(recent, before, mean) - mean) : mean;
            around = mean + (1 - LEARN) * (fade(around, aroundAt, mean) - mean);
            aroundAt = now;
            best += (latency - best) * (1 - Math.exp(-(now - bestAt) / BEST_MEMORY));
            if (!(best <= latency)) best = latency;
            bestAt = now;
            double norm = window <= 1 ? 2 * shortestObjective * AIM_PART : target();
            if (latency <= norm) {
                if (a.wide) {
                    window = Math.min(WINDOW_CEILING, window + Math.min(window / 2, 1 / window));
                }
            } else if (now - narrowedAt > latency) {
                narrowedAt = now;
                window = Math.max(window > 1 ? 1 : WINDOW_FLOOR, window * NARROW);
            }
        }

        /** A failed attempt that says something of the node: back off, then go on by a trickle. */
        void failed(AttemptOutcome outcome) {
            if (outcome == AttemptOutcome.ERROR) {
                errors += LEARN * (1 - errors);
                return;
            }
            if (outcome.mayBeIsolated() && !missed && !doubted) {
                missed = true;   // one answer or connection may be lost; that is not the end of the node
                return;
            }
            failures++;
            doubted = false;
            window = Math.max(WINDOW_FLOOR, window / 2);
            trickleAt = now + Math.min(TRICKLE, BACKOFF * Math.pow(2, Math.min(failures, 10)));
        }
    }

    /** A value seen at some time, fading into another with age. */
    private double fade(double value, double at, double into) {
        return into + (value - into) * Math.exp(-(now - at) / AGE);
    }

    /** Latency over all nodes of late; into a guess when nothing was heard. */
    private double around() {
        return fade(around, aroundAt, shortestObjective / 3);
    }

    private void learnList(EndpointsReceived list) {
        if (!list.cached()) listPace.heard();
        if (list.complete()) nodes.values().forEach(n -> n.usable = n.listed = false);
        for (Endpoint e : list.endpoints()) {
            Node n = nodes.computeIfAbsent(e.node(), k -> new Node(e));
            n.usable = e.state() == EndpointState.HEALTHY;
            n.listed = e.state() != EndpointState.REMOVED;
            if (e.startedAt() > n.lastStart) {
                n.lastStart = e.startedAt();
                if (n.isCold()) {
                    n.toldAt = now;
                    n.window = Math.min(n.window, WINDOW_START);
                    n.failures = 0;
                    n.trickleAt = 0;
                }
            }
        }
        nodes.values().removeIf(Node::isDone);
    }

    // ---------------------------------------------------------------- sending

    /** Sends what may leave now: each node's smallest finish tag first, new objects where they wait least. */
    private void pump() {
        PendingQueue fresh = held.get(-1);
        for (Node n : nodes.values()) {
            PendingQueue own = held.get(n.cell);
            boolean takesFresh = fresh != null && fresh.size() > 0 && welcomesFresh(n);
            if (own != null && own.onTime.size() > 1 && n.mayTake()) shed(own, n);
            while (n.usable && (own != null && own.size() > 0 || takesFresh && fresh.size() > 0)) {
                Request r = own == null ? null : pick(own.onTime, n);
                if (takesFresh) {
                    Request f = pick(fresh.onTime, n);
                    if (f != null && (r == null || f.finishTag < r.finishTag) && bestFor(f) == n) r = f;
                }
                if (r == null) {
                    r = own == null ? null : pick(own.late, n);
                    if (r == null && takesFresh) r = pick(fresh.late, n);
                }
                if (r == null) break;
                send(r, n);
            }
        }
    }

    /** The first request in tag order that nothing holds back at this node. */
    private Request pick(TreeSet<Request> queue, Node n) {
        if (!n.mayTake()) return null;
        for (Request r : queue) {
            boolean inTime = now + n.expected(r.in.units()) <= r.objectiveAt;
            if (n.pressed(r)) continue;
            boolean idle = n.inFlight.isEmpty() && now > n.sentAt + LATE_PACE * n.expected();
            boolean useful = inTime || !r.late && now + n.expected(r.in.units()) <= r.answerAt;
            if ((useful || idle) && n.takes(r) && mayLeave(r, n)) return r;
        }
        return null;
    }

    /**
     * Exception to the design, acting only where a node cannot meet the aims of all that waits for it here:
     * in tag order, each that would come too late makes the least worthy so far, itself included, wait behind
     * the others. Guards against an overload in which the oldest go first and every one comes late.
     */
    private void shed(PendingQueue own, Node n) {
        double perUnit = n.expected() / (n.window * settings.meanUnits());
        double ready = now;
        planStamp++;
        PriorityQueue<Request> kept = new PriorityQueue<>(
            Comparator.<Request>comparingDouble(r -> r.worth).thenComparingLong(r -> -r.order));
        List<Request> shed = new ArrayList<>();
        for (Request r : own.onTime) {
            r.worth = r.kind.priorityWeight() * r.volume.plan.price() * r.volume.planned(r);
            kept.add(r);
            if (ready + n.expected(r.in.units()) > r.objectiveAt) {
                Request least = kept.poll();
                shed.add(least);
                ready -= least == r ? 0 : (least.in.units() - r.in.units()) * perUnit;
            } else {
                ready += r.in.units() * perUnit;
            }
        }
        shed.forEach(this::leaveTagOrder);
    }

    private void leaveTagOrder(Request r) {
        PendingQueue h = heldFor(r);
        h.remove(r);
        r.late = true;
        tags.giveBack(r);
        h.add(r);
        if (r.tries == 0) answer(r, Reason.LOAD_SHED);   // its client may find help elsewhere, or later
    }

    private boolean mayLeave(Request r, Node n) {
        if (now < r.retryAt || !hasTurn(r) || r.tries == 0 && !r.volume.limiter.allows(r.in.units(), now)) {
            return false;
        }
        if (r.tries > 0 && !(budget.allows(now) && n.repeats.allows(now))) return false;
        return r.maybeRanSince < 0 || r.kind.idempotency() == Idempotency.IDEMPOTENT || inGroup(r, n);
    }

    /** Until when nodes surely remember a keyed request that may have run; 0: it has not. */
    private double writeBy(Request r) {
        boolean mayRepeat = r.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && r.maybeRanSince >= 0;
        return mayRepeat ? r.maybeRanSince + r.kind.idempotencyWindow() - settings.tick() : 0;
    }

    /** A keyed request that may have run goes only to nodes that drop its repeats, while they remember it. */
    private boolean inGroup(Request r, Node n) {
        if (now >= writeBy(r)) return false;
        return switch (r.kind.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> n.zone != null && n.zone.equals(r.maybeRanAt.zone);
            case CELL -> n.cell == r.maybeRanAt.cell;
        };
    }

    private boolean welcomesFresh(Node n) {
        return n.usable && !n.suspect() && !n.isCold() && n.errors < LEARN;
    }

    /** Where a new object waits least: expected latency times what this host already has there. */
    private Node bestFor(Request r) {
        Node choice = null;
        double least = Double.POSITIVE_INFINITY;
        for (Node n : nodes.values()) {
            if (welcomesFresh(n) && n.takes(r)) {
                PendingQueue own = held.get(n.cell);
                double wait = n.expected() * (1 + n.inFlight.size() + (own == null ? 0 : own.onTime.size()));
                if (wait < least) {
                    least = wait;
                    choice = n;
                }
            }
        }
        return choice;
    }

    private void send(Request r, Node n) {
        heldFor(r).remove(r);
        tags.sent(r);
        if (!r.late) r.volume.drawReserve(r.in.units());
        if (r.tries == 0) {
            if (!r.in.isRetry()) n.repeats.addFirstAttempt(now);
            r.volume.limiter.consume(r.in.units());
        } else {
            n.repeats.addRetry(now);
            budget.addRetry(now);
        }
        double patience = n.patience(r);
        Attempt a = new Attempt();
        a.request = r;
        a.node = n;
        a.sentAt = a.heardAt = now;
        if (n.suspect()) {
            n.trickleAt = now + TRICKLE;
            n.tries++;
        }
        r.inFlight = a;
        attempts.put(r.in.id() + '#' + r.tries, a);
        n.inFlight.put(r.in.id() + '#' + r.tries, a);
        a.wide = n.inFlight.size() >= Math.floor(n.window);
        n.sentUnits.add(new double[] {now, r.in.units()});
        if (n.sentUnits.size() > 4 * WINDOW_CEILING) n.sentWithin();
        n.sentAt = now;
        if (r.kind.ordered() && r.in.key() != null) keyOrders.get(r.in.key()).inFlight++;
        r.tries++;
        out.add(new SendAttempt(r.in.id(), n.id, patience, writeBy(r)));
    }

    // ---------------------------------------------------------------- outcomes and answers

    private void done(AttemptEnded d) {
        Attempt a = attempts.remove(d.id() + '#' + d.attempt());
        if (a == null) return;
        Request r = a.request;
        Node n = a.node;
        n.inFlight.remove(d.id() + '#' + d.attempt());
        if (n.isDone()) nodes.remove(n.id, n);
        r.volume.use.reported(now, d.unitsElsewhere(), d.usagePercent(), r.volume.plan.rate());
        if (d.outcome() == AttemptOutcome.SERVED) {
            n.served(a, d.took());
            r.volume.use.served(r.in.units());
        } else if (d.outcome() != AttemptOutcome.CANCELLED && d.outcome() != AttemptOutcome.NOT_SENT) {
            if (!d.outcome().mayBeIsolated() || n.servedAt < a.sentAt) n.failed(d.outcome());
        }
        if (r.kind.ordered() && r.in.key() != null) {
            KeyOrder order = keyOrders.get(r.in.key());
            order.inFlight--;
            if (d.outcome() == AttemptOutcome.TIMED_OUT || d.outcome() == AttemptOutcome.RESET
                || d.outcome() == AttemptOutcome.CANCELLED) {
                order.restUntil = Math.max(order.restUntil, now + rules.keyQuietTime() + settings.tick());
            }
        }
        r.inFlight = null;
        r.reached |= d.outcome() == AttemptOutcome.AT_CAPACITY || !d.outcome().provesNotExecuted();
        if (!d.outcome().provesNotExecuted() && r.maybeRanSince < 0) {
            r.maybeRanSince = a.sentAt;
            r.maybeRanAt = n;
        }
        if (open.get(d.id()) != r) {
            dropTurn(r);
            return;
        }
        if (r.streaming) {                 // cut short: its deadline runs again
            r.streaming = false;
            dues.add(new Due(r.answerAt, r));
        }
        if (d.requestFinished()) {
            close(r);
        } else if (!d.bodyConsumed() && mayRepeat(r) && n.repeats.allows(now) && (r.reached || now < r.holdUntil)) {
            r.retryAt = d.outcome() == AttemptOutcome.TIMED_OUT ? now : now + BACKOFF * r.tries;
            r.late |= r.retryAt + n.expected() > r.objectiveAt;
            if (!r.late) r.volume.busy.add(r);   // back among the tags that shift together
            heldFor(r).add(r);
        } else {
            answer(r, now >= r.answerAt ? Reason.DEADLINE_EXCEEDED : Reason.NOT_RETRYABLE);
        }
    }

    private boolean mayRepeat(Request r) {
        if (r.tries >= maxAttempts || now >= r.answerAt) return false;
        return r.kind.idempotency() == Idempotency.IDEMPOTENT || r.maybeRanSince < 0
            || r.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && now + BACKOFF * r.tries - r.maybeRanSince < r.kind
                .idempotencyWindow();
    }

    /** Gives the final answer: a refusal where a repeat does no harm, a failure otherwise. */
    private void answer(Request r, Reason reason) {
        boolean harmless = r.proved() || r.kind.idempotency() == Idempotency.IDEMPOTENT
            || r.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && r.kind.deduplicationScope() == DeduplicationScope.ALL;
        out.add(harmless ? new RejectRequest(r.in.id(), comeBack(r), reason) : new FailRequest(r.in.id(), reason));
        callOff(r);
        close(r);
    }

    /** When coming again may be of use: the limit holds the units, and what waits here may have gone. */
    private double comeBack(Request r) {
        // Whatever waits ahead now has left or been given up once an aim is over.
        double wait = r.kind.latencyObjective(), held = heldFor(r).size();
        for (Node n : nodes.values()) {
            if (n.cell == r.in.cell()) {
                double turn = n.expected() * (1 + held / Math.max(1, n.window));
                double later = Math.max(turn, n.trickleAt - now);
                wait = n.usable ? Math.max(wait, later) : settings.maxRetryAfter();
            }
        }
        return Math.min(settings.maxRetryAfter(), Math.max(wait, r.volume.limiter.waitFor(r.in.units(), now)));
    }

    private void callOff(Request r) {
        if (r.inFlight != null && settings.mayCancel()) out.add(new CancelAttempt(r.in.id(), r.tries - 1));
    }

    private void close(Request r) {
        open.remove(r.in.id());
        if (r.isHeld) {
            heldFor(r).remove(r);
            if (!r.late) tags.giveBack(r);
        }
        dropTurn(r);
    }

    private void dropTurn(Request r) {
        if (!r.kind.ordered() || r.in.key() == null) return;
        KeyOrder order = keyOrders.get(r.in.key());
        if (order != null) {
            order.waiting.remove(r);
            if (order.waiting.isEmpty() && order.inFlight == 0 && now >= order.restUntil) {
                keyOrders.remove(r.in.key());
            }
        }
    }

    /** What falls due: a missed aim leaves tag order, a deadline gets its answer. */
    private void expire() {
        while (!dues.isEmpty() && dues.peek().at <= now) {
            Request r = dues.poll().request;
            if (open.get(r.in.id()) != r || r.streaming && now < leaveBy) continue;
            if (now >= r.answerAt) {
                answer(r, Reason.DEADLINE_EXCEEDED);
            } else if (now >= r.holdUntil && r.isHeld && !r.reached) {
                answer(r, Reason.NO_ENDPOINT_IN_TIME);
            } else if (now >= r.objectiveAt && !r.late) {
                if (r.isHeld) leaveTagOrder(r);
                r.late = true;
            }
        }
    }
}
