package kelphollow.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.LimitsRestored;
import kelphollow.decision.ControlEvent.NodesSuspected;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.SettingsChanged;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.EndpointListLease;

/**
 * Routes requests from fronts to backends as the decision module wants. This is the facade; behind it are the
 * lifecycles of requests and of attempts, the endpoint list with its overrides, and the loop that feeds the decision
 * module. Knows no wire protocol. Confined to one event loop, but for {@link #hasReceivedEndpoints}.
 */
public final class RequestRouter implements FleetRouting {
    private final Control control;
    private final DecisionLoop decisions;
    private final RequestLifecycle requests;
    private final EndpointTable table;
    private final EndpointList endpoints;
    private final EndpointOverrides overrides;
    private final StallDetector stalls;
    private final RequestLog log;

    /** A router whose endpoint list may be acted on whatever its age. */
    public RequestRouter(Control control, Ticker ticker, Backend backend) {
        this(control, ticker, backend, EndpointListLease.unbounded());
    }

    /** A router that sends only while the lease on its endpoint list lasts. */
    public RequestRouter(Control control, Ticker ticker, Backend backend, EndpointListLease lease) {
        Map<String, Request> open = new HashMap<>();
        this.control = control;
        this.decisions = new DecisionLoop(control, ticker);
        this.stalls = new StallDetector(ticker);
        this.log = new RequestLog(ticker, open.values(), lease);
        this.table = new EndpointTable();
        this.endpoints = new EndpointList(ticker, decisions, table, lease, backend::closeIdleConnections);
        this.overrides = new EndpointOverrides(ticker, decisions, table, backend::closeIdleConnections);
        this.requests = new RequestLifecycle(open, decisions, log);
        SendEligibility eligibility = new SendEligibility(ticker, table::acceptsWork, lease);
        AttemptLifecycle attempts =
            new AttemptLifecycle(ticker, backend, decisions, requests, table, eligibility, stalls, log);
        decisions.setExecutor(new ActionExecutor(ticker, decisions, requests, attempts, endpoints));
    }

    /**
     * Starts the decision module and the watch of the endpoint list. A pushed list is polled at once; one of a shared
     * service when the module says so, the first time too.
     *
     * @param source where the list comes from
     * @param pushed whether that is an agent on this machine, which serves this instance alone
     */
    public void start(EndpointSource source, boolean pushed) {
        endpoints.start(source, pushed, pushed || !control.pollsEndpoints());
        stalls.start();
        log.start();
        decisions.start();
    }

    /**
     * Starts the graceful shutdown: all requests that are open or still arrive have their final answer by this clock
     * time.
     */
    public void startShutdown(double deadline) {
        decisions.handle(new ShutdownStarted(deadline));
    }

    /** New classes and attempts bind from now on; requests under way keep their class. */
    public void changeSettings(List<RequestClass> classes, int maxAttempts) {
        decisions.handle(new SettingsChanged(classes, maxAttempts));
    }

    /** Restores the tokens that an earlier process has left of volumes' limits; before the first request. */
    public void restoreLimits(Map<String, Double> tokens) {
        decisions.handle(new LimitsRestored(tokens));
    }

    /** The tokens left of volumes' limits, by volume. */
    public Map<String, Double> limitTokens() {
        return control.limitTokens();
    }

    /** From now on nothing is logged of its requests, as for a warm-up. */
    public void disableLogging() {
        log.disable();
    }

    /** What became of requests and attempts since the start, as one line. */
    public String counters() {
        return log.summary();
    }

    // ---------------------------------------------------------------- requests

    /**
     * Submits a request. The router replaces the id in {@code arrival} by one of its own, since a client's id proves
     * nothing: two clients may send the same.
     *
     * @param arrival what the decision module is notified of
     * @param message what is to be sent, for the backend of the same protocol
     * @param callback gets the final answer, maybe before this call returns
     */
    public Request submit(RequestArrived arrival, Object message, ResponseCallback callback) {
        return requests.submit(arrival, message, callback);
    }

    /** The client has disconnected: no answer is owed any more, and attempts in flight are cancelled. */
    public void clientDisconnected(Request request) {
        requests.clientDisconnected(request);
    }

    /** How many requests have no final answer yet. */
    public int openRequests() {
        return requests.openCount();
    }

    @Override public void setAdmissionFilter(AdmissionFilter filter) {
        requests.setAdmissionFilter(filter);
    }

    // ---------------------------------------------------------------- endpoint list

    /** Takes a complete endpoint list that was cached, to be used until its source has answered. */
    public void restoreEndpoints(List<ResolvedEndpoint> cached) {
        endpoints.restore(cached);
    }

    /** Takes an endpoint list that is up to date for as long as no other comes. */
    public void updateEndpoints(List<ResolvedEndpoint> received, boolean complete) {
        updateEndpoints(received, complete, Double.POSITIVE_INFINITY);
    }

    /**
     * Takes an endpoint list from its source.
     *
     * @param received the entries
     * @param complete whether these are all entries, or changes only
     * @param asOf clock time: what the source had by then is in this list and in earlier ones
     */
    public void updateEndpoints(List<ResolvedEndpoint> received, boolean complete, double asOf) {
        endpoints.update(received, complete, asOf);
    }

    /** A poll made at {@code calledAt}, or its watch, has failed; the endpoint list stands as it is. */
    public void endpointPollFailed(EndpointPollFailure failure, double calledAt) {
        endpoints.pollFailed(failure, calledAt);
    }

    /** From now on the list comes from another source, which is polled soon; open requests go on. */
    public void changeEndpointSource(EndpointSource source, boolean pushed) {
        endpoints.changeSource(source, pushed);
    }

    /** The task runs once, when the source has answered or failed for the first time. */
    public void onFirstResponse(Runnable task) {
        endpoints.onFirstResponse(task);
    }

    @Override public void onEndpointsReceived(Consumer<List<Endpoint>> listener) {
        endpoints.onReceived(listener);
    }

    /** Whether a list has come from the source since the start, not only a cached one. Safe from any thread. */
    public boolean hasReceivedEndpoints() {
        return endpoints.hasReceived();
    }

    /** Whether new requests may go to the node. */
    boolean acceptsWork(String node) {
        return table.acceptsWork(node);
    }

    // ---------------------------------------------------------------- overrides of the endpoint list

    /**
     * Takes the node out for maintenance: nothing new goes to it from now on, and its idle connections are closed.
     *
     * @return false, and nothing is changed, if no list names the node and it is not in maintenance
     */
    public boolean startMaintenance(String node) {
        return overrides.startMaintenance(node);
    }

    /**
     * Lets the node serve again. It may have restarted meanwhile, so it counts as started now and is in slow start.
     *
     * @return false if the node is neither in maintenance nor named by a list
     */
    public boolean endMaintenance(String node) {
        return overrides.endMaintenance(node);
    }

    /** Starts and ends maintenance until just these nodes are in it, as another process wrote. */
    public void setNodesInMaintenance(Set<String> nodes) {
        overrides.setNodesInMaintenance(nodes);
    }

    /** The nodes in maintenance, in order of their ids; a copy. */
    public Set<String> nodesInMaintenance() {
        return overrides.nodesInMaintenance();
    }

    @Override public void eject(Set<String> nodes) {
        overrides.eject(nodes);
    }

    // ---------------------------------------------------------------- the fleet's findings

    @Override public void suspect(Set<String> nodes) {
        decisions.handle(new NodesSuspected(nodes));
    }

    @Override public void limitRetries(double share, double span) {
        decisions.handle(new RetryBudgetChanged(share, span));
    }

    @Override public Map<String, Integer> unresponsiveNodes() {
        return control.unresponsiveNodes();
    }
}
