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
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import kelphollow.decision.ControlEvent;
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
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.EndpointListLease;
import kelphollow.maintenance.MaintenanceSet;

/**
 * Requests, attempts and outcomes. Feeds what happens to the decision module, carries out what it decides,
 * and sees to it that each request gets exactly one final answer. Knows no wire; lives on one event loop.
 */
public final class RequestRouter implements FleetRouting {
    private static final Logger LOG = Logger.getLogger(RequestRouter.class.getName());

    private final Control control;
    private final Ticker ticker;
    private final Backend backend;
    private final Map<String, Request> open = new HashMap<>();
    private final Map<String, Attempt> out = new HashMap<>();
    private final ArrayDeque<ControlEvent> events = new ArrayDeque<>();
    private final EndpointTable table = new EndpointTable();
    private AdmissionFilter admission = AdmissionFilter.ALL;
    private Consumer<List<Endpoint>> endpointsListener = entries -> {};
    private Runnable firstResponse = () -> {};
    private volatile boolean heard;
    private final EndpointWatch list;
    private boolean busy;
    /** When the module was asked last. */
    private double decidedAt;
    private long ids;
    private final StallDetector stalls;
    private final RequestLog log;
    private final EndpointListLease lease;
    private final SendEligibility gate;
    /** Up to when the module was last told that the list may be acted on. */
    private double leasedUntil = Double.POSITIVE_INFINITY;

    /** A core whose node list may be acted on whatever its age. */
    public RequestRouter(Control control, Ticker ticker, Backend backend) {
        this(control, ticker, backend, EndpointListLease.unbounded());
    }

    /** A core that sends only while the lease on its node list lasts. */
    public RequestRouter(Control control, Ticker ticker, Backend backend, EndpointListLease lease) {
        this.control = control;
        this.ticker = ticker;
        this.backend = backend;
        this.lease = lease;
        this.list = new EndpointWatch(ticker);
        this.gate = new SendEligibility(ticker, table::wantsWork, lease);
        this.stalls = new StallDetector(ticker);
        this.log = new RequestLog(ticker, open.values(), lease);
    }

    /**
     * Starts the module; its list comes from this directory from now on. A {@code pushed} list is watched at once and
     * without the module, a list of a shared service is asked for when the module says so, the first time too.
     */
    public void start(EndpointSource from, boolean pushed) {
        tellLease();
        list.follow(from, pushed);
        if (pushed || !control.pollsEndpoints()) {
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
        tell(new ShutdownStarted(by));
    }

    /** From now on the list comes from another directory, which is asked at once; all that is open goes on. */
    public void follow(EndpointSource next, boolean pushed) {
        list.follow(next, pushed);
        lease.moved(now());
        tellLease();
        if (pushed) {
            list.ask();
        } else {
            tell(new EndpointSourceChanged());
        }
    }

    /** New classes and attempts bind from now on; requests under way keep their class. */
    public void retune(List<RequestClass> classes, int maxAttempts) {
        tell(new SettingsChanged(classes, maxAttempts));
    }

    /** What an earlier life left of volumes' limits; before the first request. */
    public void restoreLimits(Map<String, Double> levels) {
        tell(new LimitsRestored(levels));
    }

    /** The levels of volumes' limits as they are now. */
    public Map<String, Double> limitTokens() {
        return control.limitTokens();
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
    public Request take(RequestArrived arrival, Object message, ResponseCallback caller) {
        String id = Long.toString(ids++, 36);
        RequestArrived own = new RequestArrived(id, arrival.requestClass(), arrival.plan(), arrival.key(), arrival
            .deadline(),
            arrival.volume(), arrival.units(), arrival.cell(), arrival.hosts(), arrival.isRetry());
        Request request = new Request(own, message, caller);
        log.taken();
        double comeAgain = admission.advice(own);
        if (comeAgain >= 0) {
            request.over = true;
            caller.rejected(comeAgain, false);
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
            tell(new ClientDisconnected(request.arrival().id()));
        }
    }

    /** From now on requests are looked at by this before the module hears of them. */
    @Override public void setAdmissionFilter(AdmissionFilter filter) {
        admission = filter;
    }

    public int openRequests() {
        return open.size();
    }

    // ---------------------------------------------------------------- the node list

    public void learn(List<ResolvedEndpoint> news, boolean complete, boolean persisted) {
        if (persisted) {
            learn(news, complete, true, Double.NaN);
        } else {
            learn(news, complete, false, Double.POSITIVE_INFINITY);
        }
    }

    /** The same, from a watched service: what it had to tell up to {@code asOf} is in this and in earlier lists. */
    public void learn(List<ResolvedEndpoint> news, boolean complete, double asOf) {
        learn(news, complete, false, asOf);
    }

    private void learn(List<ResolvedEndpoint> news, boolean complete, boolean persisted, double asOf) {
        heard |= !persisted;
        if (!persisted) {
            list.heard();
            lease.confirmed(asOf);
        }
        EndpointTable.News told = table.learn(news, complete);
        tell(new EndpointsReceived(told.entries(), complete, persisted));
        tellLease();
        told.retired().forEach(backend::retire);
        if (!persisted) {
            firstResponse();
            endpointsListener.accept(news.stream().map(ResolvedEndpoint::endpoint).toList());
        }
    }

    /** The task runs once the directory has told its first list, or has failed to for the first time. */
    public void onFirstResponse(Runnable task) {
        firstResponse = task;
    }

    private void firstResponse() {
        Runnable task = firstResponse;
        firstResponse = () -> {};
        task.run();
    }

    /** {@code heard} is told what each list from discovery says, as it says it, once it has been followed. */
    @Override public void onEndpointsReceived(Consumer<List<Endpoint>> heard) {
        endpointsListener = heard;
    }

    /** Whether a list has come from discovery since the start, not only the one kept from before. */
    public boolean hasReceivedEndpoints() {
        return heard;
    }

    // ---------------------------------------------------------------- maintenance

    /**
     * Takes the node out for maintenance: nothing new goes to it from now on, and its idle connections are closed.
     * Returns false, and bans nothing, if no list names the node.
     */
    public boolean ban(String node) {
        ResolvedEndpoint m = table.member(node);
        if (m == null) {
            return table.bans().holds(node);
        }
        if (table.bans().take(node)) {
            tell(new EndpointsReceived(List.of(table.shown(m.endpoint())), false, true));
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
        ResolvedEndpoint m = table.member(node);
        if (m != null) {
            Endpoint e = m.endpoint();
            tell(new EndpointsReceived(List.of(table.shown(new Endpoint(e.node(), e.zone(), e.cell(), e.state(),
                Math.max(e.startedAt(), now())))), false, true));
            backend.retire(node);
        }
        return true;
    }

    /**
     * Nodes that are left alone for the sake of other instances, which were told that they drain or which try them for all;
     * all of them each time: nothing new goes there from now on. One that is no longer named serves again as its list has
     * it: it was never away.
     */
    @Override public void eject(Set<String> nodes) {
        List<Endpoint> changed = table.eject(nodes);
        if (!changed.isEmpty()) {
            tell(new EndpointsReceived(changed, false, true));
            changed.stream().filter(e -> e.state() != EndpointState.HEALTHY).forEach(e -> backend.retire(e.node()));
        }
    }

    /** Nodes that others found silent, all of them each time. */
    @Override public void suspect(Set<String> nodes) {
        tell(new NodesSuspected(nodes));
    }

    /** From now on further attempts at each node are at most this share of the first ones within the span (milliseconds). */
    @Override public void limitRetries(double share, double span) {
        tell(new RetryBudgetChanged(share, span));
    }

    /** Nodes that do not answer this instance, and how often it has tried each since. */
    @Override public Map<String, Integer> unresponsiveNodes() {
        return control.unresponsiveNodes();
    }

    /** The bans as they stand, for the next process. */
    public Set<String> bans() {
        return table.bans().nodes();
    }

    /** Follows bans that another process wrote: takes and lifts until they are the same. */
    public void adoptBans(Set<String> told) {
        MaintenanceSet.Change change = table.bans().towards(told);
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
    public void endpointPollFailed(EndpointPollFailure failure, double calledAt) {
        firstResponse();
        lease.failed(failure, calledAt, now() - calledAt);
        if (list.failed()) {
            tell(new EndpointPollFailed(failure));
        }
        tellLease();
    }

    /** The module hears until when the list may be acted on, after it has heard what that rests on. */
    private void tellLease() {
        double until = lease.validUntil();
        if (until != leasedUntil) {
            leasedUntil = until;
            tell(new EndpointLeaseRenewed(until));
        }
    }

    boolean wantsWork(String node) {
        return table.wantsWork(node);
    }

    // ---------------------------------------------------------------- attempts

    /** An attempt's connection is up: whether its first byte may be written now. */
    boolean maySend(Attempt attempt) {
        SendVerdict verdict = gate.verdict(attempt);
        log.looked(attempt, verdict);
        return verdict == SendVerdict.ALLOWED;
    }

    void began(Attempt attempt) {
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        tell(new ResponseStarted(attempt.request().arrival().id(), attempt.number));
    }

    void progressed(Attempt attempt) {
        tell(new AttemptProgressed(attempt.request().arrival().id(), attempt.number));
    }

    void ended(Attempt attempt, AttemptResult result) {
        if (!attempt.finish()) {
            return;
        }
        Request request = attempt.request();
        out.remove(request.arrival().id() + '#' + attempt.number);
        log.ended(result.outcome());
        request.last = result.outcome();
        if (result.outcome() == AttemptOutcome.SERVED && !request.over) {
            close(request);
            log.served();
            request.caller.served(result.answer());
        }
        tell(new AttemptEnded(request.arrival().id(), attempt.number, attempt.target().endpoint().node(), result.outcome(),
            attempt.took(), request.over, result.bodyConsumed(), result.unitsElsewhere(), result.usagePercent(), result
                .loadReport()));
    }

    private void giveUp(Attempt attempt, AttemptOutcome outcome) {
        if (attempt.isOut()) {
            backend.abandon(attempt);
            ended(attempt, AttemptResult.of(outcome));
        }
    }

    // ---------------------------------------------------------------- the module

    /** Events that come while actions are carried out wait: the module takes one at a time. */
    private void tell(ControlEvent event) {
        events.add(event);
        drainEvents();
    }

    private void drainEvents() {
        if (busy) {
            return;
        }
        busy = true;
        try {
            ControlEvent event;
            while ((event = events.poll()) != null) {
                decidedAt = now();
                carryOut(control.on(decidedAt, event));
            }
        } finally {
            busy = false;
        }
    }

    private void carryOut(List<ControlAction> actions) {
        for (ControlAction action : actions) {
            if (action instanceof SendAttempt a) {
                send(a);
            } else if (action instanceof SetTimer a) {
                ticker.after(a.at() - now(), () -> tell(new TimerFired(a.name())));
            } else if (action instanceof RejectRequest a) {
                Request request = conclude(a.id());
                if (request != null) {
                    log.rejected(a.reason());
                    if (request.attempts.isEmpty()) {
                        admission.rejected(request.arrival());
                    }
                    request.caller.rejected(a.retryAfter(), request.timedOut());
                }
            } else if (action instanceof FailRequest a) {
                Request request = conclude(a.id());
                if (request != null) {
                    log.failed(a.reason());
                    request.caller.failed(request.timedOut());
                }
            } else if (action instanceof CancelAttempt a) {
                cancel(a);
            } else if (action instanceof PollEndpoints) {
                list.ask();
            }
        }
    }

    private void send(SendAttempt a) {
        Request request = open.get(a.id());
        ResolvedEndpoint member = table.member(a.node());
        if (!Invariant.holds(request != null && member != null, "send of " + a.id() + " to " + a.node())) {
            return;
        }
        double now = now();
        double giveUpAt = a.timeout() > 0 ? Math.min(request.arrival().deadline(), now + a.timeout())
            : request.arrival().deadline();
        Attempt attempt = new Attempt(this, request, request.attempts.size(), member, now, giveUpAt, a.writeBy());
        log.sent(attempt);
        gate.confirms(attempt, decidedAt);
        request.attempts.add(attempt);
        out.put(a.id() + '#' + attempt.number, attempt);
        attempt.timeout = ticker.after(giveUpAt - now, () -> giveUp(attempt, AttemptOutcome.TIMED_OUT));
        try {
            backend.start(attempt);
        } catch (RuntimeException e) {
            // A fault in a backend costs one attempt, not the scheduler; whether it was written is not known.
            LOG.log(Level.WARNING, "attempt at " + a.node() + " failed", e);
            attempt.ended(AttemptResult.of(AttemptOutcome.RESET));
        }
    }

    /** A cancel may name an attempt of a request that has had its final answer, as long as the attempt is out. */
    private void cancel(CancelAttempt a) {
        Attempt attempt = out.get(a.id() + '#' + a.attempt());
        if (attempt != null) {
            giveUp(attempt, AttemptOutcome.CANCELLED);
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
        open.remove(request.arrival().id());
    }
}
