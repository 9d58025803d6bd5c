package kelphollow.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import kelphollow.decision.Control;
import kelphollow.decision.ControlApi.*;
import kelphollow.decision.ListLease;
import kelphollow.maintenance.Bans;

/**
 * Requests, attempts and outcomes. Feeds what happens to the decision module, carries out what it decides,
 * and sees to it that each request gets exactly one final answer. Knows no wire; lives on one event loop.
 */
public final class Core implements NodeControl {
    private static final Logger LOG = Logger.getLogger(Core.class.getName());

    private final Control control;
    private final Ticker ticker;
    private final Backend backend;
    private final Map<String, Request> open = new HashMap<>();
    private final Map<String, Attempt> out = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final NodeTable table = new NodeTable();
    private Admission admission = Admission.ALL;
    private Consumer<List<NodeEntry>> listHeard = entries -> {};
    private Runnable firstWord = () -> {};
    private volatile boolean heard;
    private final ListWatch list;
    private boolean busy;
    /** When the module was asked last. */
    private double decidedAt;
    private long ids;
    private final StallDetector stalls;
    private final RequestLog log;
    private final ListLease lease;
    private final SendGate gate;
    /** Up to when the module was last told that the list may be acted on. */
    private double leasedUntil = Double.POSITIVE_INFINITY;

    /** A core whose node list may be acted on whatever its age. */
    public Core(Control control, Ticker ticker, Backend backend) {
        this(control, ticker, backend, ListLease.unbounded());
    }

    /** A core that sends only while the lease on its node list lasts. */
    public Core(Control control, Ticker ticker, Backend backend, ListLease lease) {
        this.control = control;
        this.ticker = ticker;
        this.backend = backend;
        this.lease = lease;
        this.list = new ListWatch(ticker);
        this.gate = new SendGate(ticker, table::wantsWork, lease);
        this.stalls = new StallDetector(ticker);
        this.log = new RequestLog(ticker, open.values(), lease);
    }

    /**
     * Starts the module; its list comes from this directory from now on. A {@code pushed} list is watched at once and
     * without the module, a list of a shared service is asked for when the module says so, the first time too.
     */
    public void start(Directory from, boolean pushed) {
        tellLease();
        list.follow(from, pushed);
        if (pushed || !control.asksForList()) {
            list.ask();
        }
        stalls.start();
        log.start();
        busy = true;
        carryOut(control.start());
        busy = false;
        drainEvents();
    }

    /** Sees to it that all that is open, or still comes, has its final answer by then. */
    public void leave(double by) {
        tell(new Leaving(by));
    }

    /** From now on the list comes from another directory, which is asked at once; all that is open goes on. */
    public void follow(Directory next, boolean pushed) {
        list.follow(next, pushed);
        lease.moved(now());
        tellLease();
        if (pushed) {
            list.ask();
        } else {
            tell(new ListMoved());
        }
    }

    /** New classes and attempts bind from now on; requests under way keep their class. */
    public void retune(List<RequestClass> classes, int maxAttempts) {
        tell(new Retuned(classes, maxAttempts));
    }

    /** What an earlier life left of volumes' limits; before the first request. */
    public void restoreLimits(Map<String, Double> levels) {
        tell(new LimitsLeft(levels));
    }

    /** The levels of volumes' limits as they are now. */
    public Map<String, Double> limitLevels() {
        return control.limitLevels();
    }

    double now() {
        return ticker.now();
    }

    /** Logs nothing of its requests, as for a rehearsal before the start. */
    public void mute() {
        log.mute();
    }

    /** What became of requests and attempts since the start, as one line. */
    public String counters() {
        return log.summary();
    }

    /** For how long in all this loop has been stalled, in milliseconds. */
    double stalledFor() {
        return stalls.stalledFor();
    }

    // ---------------------------------------------------------------- fronts

    /**
     * Takes a request. The id in {@code facts} is replaced by one of the core's own, since a client's id
     * proves nothing: two clients may send the same.
     */
    public Request take(Arrival facts, Object message, Caller caller) {
        String id = Long.toString(ids++, 36);
        Arrival own = new Arrival(id, facts.requestClass(), facts.plan(), facts.key(), facts.deadline(),
            facts.volume(), facts.units(), facts.cell(), facts.hosts(), facts.again());
        Request request = new Request(own, message, caller);
        log.taken();
        double comeAgain = admission.advice(own);
        if (comeAgain >= 0) {
            request.over = true;
            caller.refused(comeAgain, false);
            return request;
        }
        open.put(id, request);
        tell(own);
        return request;
    }

    /** The client has left: nothing is owed any more and what is out for it is called off. */
    public void gone(Request request) {
        if (!request.over) {
            log.clientGone();
            close(request);
            tell(new ClientGone(request.facts().id()));
        }
    }

    /** From now on requests are looked at by this before the module hears of them. */
    @Override public void admit(Admission by) {
        admission = by;
    }

    public int openRequests() {
        return open.size();
    }

    // ---------------------------------------------------------------- the node list

    public void learn(List<Member> news, boolean whole, boolean persisted) {
        if (persisted) {
            learn(news, whole, true, Double.NaN);
        } else {
            learn(news, whole, false, Double.POSITIVE_INFINITY);
        }
    }

    /** The same, from a watched service: what it had to tell up to {@code asOf} is in this and in earlier lists. */
    public void learn(List<Member> news, boolean whole, double asOf) {
        learn(news, whole, false, asOf);
    }

    private void learn(List<Member> news, boolean whole, boolean persisted, double asOf) {
        heard |= !persisted;
        if (!persisted) {
            list.heard();
            lease.confirmed(asOf);
        }
        NodeTable.News told = table.learn(news, whole);
        tell(new NodeList(told.entries(), whole, persisted));
        tellLease();
        told.retired().forEach(backend::retire);
        if (!persisted) {
            firstWord();
            listHeard.accept(news.stream().map(Member::entry).toList());
        }
    }

    /** The task runs once the directory has told its first list, or has failed to for the first time. */
    public void onFirstWord(Runnable task) {
        firstWord = task;
    }

    private void firstWord() {
        Runnable task = firstWord;
        firstWord = () -> {};
        task.run();
    }

    /** {@code heard} is told what each list from discovery says, as it says it, once it has been followed. */
    @Override public void onList(Consumer<List<NodeEntry>> heard) {
        listHeard = heard;
    }

    /** Whether a list has come from discovery since the start, not only the one kept from before. */
    public boolean heardList() {
        return heard;
    }

    // ---------------------------------------------------------------- maintenance

    /**
     * Takes the node out for maintenance: nothing new goes to it from now on, and its idle connections are closed.
     * Returns false, and bans nothing, if no list names the node.
     */
    public boolean ban(String node) {
        Member m = table.member(node);
        if (m == null) {
            return table.bans().holds(node);
        }
        if (table.bans().take(node)) {
            tell(new NodeList(List.of(table.shown(m.entry())), false, true));
            backend.retire(node);
        }
        return true;
    }

    /**
     * Lets the node serve again. It was restarted while it was out, so it is told as born now: cold, and warmed.
     * Returns false if the node is neither banned nor named by a list.
     */
    public boolean lift(String node) {
        if (!table.bans().release(node)) {
            return table.member(node) != null;
        }
        Member m = table.member(node);
        if (m != null) {
            NodeEntry e = m.entry();
            tell(new NodeList(List.of(table.shown(new NodeEntry(e.node(), e.zone(), e.cell(), e.phase(),
                Math.max(e.born(), now())))), false, true));
            backend.retire(node);
        }
        return true;
    }

    /**
     * Nodes that are left alone for the sake of other instances, which were told that they drain or which try them for all;
     * all of them each time: nothing new goes there from now on. One that is no longer named serves again as its list has
     * it: it was never away.
     */
    @Override public void cordon(Set<String> nodes) {
        List<NodeEntry> changed = table.cordon(nodes);
        if (!changed.isEmpty()) {
            tell(new NodeList(changed, false, true));
            changed.stream().filter(e -> e.phase() != Phase.HEALTHY).forEach(e -> backend.retire(e.node()));
        }
    }

    /** Nodes that others found silent, all of them each time. */
    @Override public void doubt(Set<String> nodes) {
        tell(new Doubted(nodes));
    }

    /** From now on further attempts at each node are at most this share of the first ones within the span (milliseconds). */
    @Override public void boundRepeats(double share, double span) {
        tell(new RepeatsBounded(share, span));
    }

    /** Nodes that do not answer this instance, and how often it has tried each since. */
    @Override public Map<String, Integer> silentNodes() {
        return control.silentNodes();
    }

    /** The bans as they stand, for the next process. */
    public Set<String> bans() {
        return table.bans().nodes();
    }

    /** Follows bans that another process wrote: takes and lifts until they are the same. */
    public void adoptBans(Set<String> told) {
        Bans.Change change = table.bans().towards(told);
        for (String node : change.take()) {
            if (!ban(node)) {
                table.bans().take(node);   // no list names it yet; the ban waits for one
            }
        }
        change.release().forEach(this::lift);
    }

    /**
     * A call for the list, or its watch, has failed; what was told before stands. It was made at {@code calledAt}, on the
     * ticker's clock.
     */
    public void listFailed(ListFailure failure, double calledAt) {
        firstWord();
        lease.failed(failure, calledAt, now() - calledAt);
        if (list.failed()) {
            tell(new ListFailed(failure));
        }
        tellLease();
    }

    /** The module hears until when the list may be acted on, after it has heard what that rests on. */
    private void tellLease() {
        double until = lease.validUntil();
        if (until != leasedUntil) {
            leasedUntil = until;
            tell(new ListLeased(until));
        }
    }

    boolean wantsWork(String node) {
        return table.wantsWork(node);
    }

    // ---------------------------------------------------------------- attempts

    /** An attempt's connection is up: whether its first byte may be written now. */
    boolean mayWrite(Attempt attempt) {
        WriteVerdict verdict = gate.verdict(attempt);
        log.looked(attempt, verdict);
        return verdict == WriteVerdict.ALLOWED;
    }

    void began(Attempt attempt) {
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        tell(new AnswerStarted(attempt.request().facts().id(), attempt.number));
    }

    void progressed(Attempt attempt) {
        tell(new Progress(attempt.request().facts().id(), attempt.number));
    }

    void ended(Attempt attempt, Result result) {
        if (!attempt.finish()) {
            return;
        }
        Request request = attempt.request();
        out.remove(request.facts().id() + '#' + attempt.number);
        log.ended(result.outcome());
        request.last = result.outcome();
        if (result.outcome() == Outcome.SERVED && !request.over) {
            close(request);
            log.served();
            request.caller.served(result.answer());
        }
        tell(new AttemptDone(request.facts().id(), attempt.number, attempt.member().entry().node(), result.outcome(),
            attempt.took(), request.over, result.spent(), result.elsewhere(), result.usePercent(), result.report()));
    }

    private void giveUp(Attempt attempt, Outcome outcome) {
        if (attempt.isOut()) {
            backend.abandon(attempt);
            ended(attempt, Result.of(outcome));
        }
    }

    // ---------------------------------------------------------------- the module

    /** Events that come while actions are carried out wait: the module takes one at a time. */
    private void tell(Event event) {
        events.add(event);
        drainEvents();
    }

    private void drainEvents() {
        if (busy) {
            return;
        }
        busy = true;
        try {
            Event event;
            while ((event = events.poll()) != null) {
                decidedAt = now();
                carryOut(control.on(decidedAt, event));
            }
        } finally {
            busy = false;
        }
    }

    private void carryOut(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send a) {
                send(a);
            } else if (action instanceof SetTimer a) {
                ticker.after(a.at() - now(), () -> tell(new TimerFired(a.name())));
            } else if (action instanceof Refuse a) {
                Request request = conclude(a.id());
                if (request != null) {
                    log.refused(a.reason());
                    if (request.attempts.isEmpty()) {
                        admission.refused(request.facts());
                    }
                    request.caller.refused(a.after(), request.timedOut());
                }
            } else if (action instanceof Fail a) {
                Request request = conclude(a.id());
                if (request != null) {
                    log.failed(a.reason());
                    request.caller.failed(request.timedOut());
                }
            } else if (action instanceof Cancel a) {
                cancel(a);
            } else if (action instanceof Subscribe) {
                list.ask();
            }
        }
    }

    private void send(Send a) {
        Request request = open.get(a.id());
        Member member = table.member(a.node());
        if (!Invariant.holds(request != null && member != null, "send of " + a.id() + " to " + a.node())) {
            return;
        }
        double now = now();
        double giveUpAt = a.timeout() > 0 ? Math.min(request.facts().deadline(), now + a.timeout())
            : request.facts().deadline();
        Attempt attempt = new Attempt(this, request, request.attempts.size(), member, now, giveUpAt, a.writeBy());
        log.sent(attempt);
        gate.confirms(attempt, decidedAt);
        request.attempts.add(attempt);
        out.put(a.id() + '#' + attempt.number, attempt);
        attempt.timeout = ticker.after(giveUpAt - now, () -> giveUp(attempt, Outcome.TIMED_OUT));
        try {
            backend.start(attempt);
        } catch (RuntimeException e) {
            // A fault in a backend costs one attempt, not the scheduler; whether it was written is not known.
            LOG.log(Level.WARNING, "attempt at " + a.node() + " failed", e);
            attempt.ended(Result.of(Outcome.RESET));
        }
    }

    /** A cancel may name an attempt of a request that has had its final answer, as long as the attempt is out. */
    private void cancel(Cancel a) {
        Attempt attempt = out.get(a.id() + '#' + a.attempt());
        if (attempt != null) {
            giveUp(attempt, Outcome.CANCELLED);
        }
    }

    private Request conclude(String id) {
        Request request = open.get(id);
        if (Invariant.holds(request != null && !request.over, "one final answer for " + id)) {
            close(request);
            return request;
        }
        return null;
    }

    private void close(Request request) {
        request.over = true;
        open.remove(request.facts().id());
    }
}
