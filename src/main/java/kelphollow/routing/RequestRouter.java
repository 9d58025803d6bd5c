package kelphollow.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.LimitsHandedOver;
import kelphollow.decision.ControlEvent.LimitsNotHandedOver;
import kelphollow.decision.ControlEvent.LimitsRestored;
import kelphollow.decision.ControlEvent.NodesSuspected;
import kelphollow.decision.ControlEvent.PredecessorReplaced;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.RetryBudgetChanged;
import kelphollow.decision.ControlEvent.SettingsChanged;
import kelphollow.decision.ControlEvent.ShutdownStarted;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.EndpointListLease;

/**
 * Routes requests from fronts to backends as the decision module decides. This is the facade of the lifecycles of requests
 * and of attempts, the endpoint list with its overrides, and the loop that feeds the decision module. Independent of any
 * wire protocol. Confined to one event loop, except for {@link #hasReceivedEndpoints}.
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

    /** Creates a router that uses its endpoint list whatever its age. */
    public RequestRouter(Control control, Ticker ticker, Backend backend) {
        this(control, ticker, backend, EndpointListLease.unbounded());
    }

    /** Creates a router that sends only while the lease on its endpoint list is valid. */
    public RequestRouter(Control control, Ticker ticker, Backend backend, EndpointListLease lease) {
        Map<String, Request> open = new HashMap<>();
        this.control = control;
        this.decisions = new DecisionLoop(control, ticker);
        this.stalls = new StallDetector(ticker);
        this.log = new RequestLog(ticker, open.values(), lease, stalls, control::volumeCount);
        this.table = new EndpointTable();
        this.endpoints = new EndpointList(ticker, decisions, table, lease, backend::closeIdleConnections);
        this.overrides = new EndpointOverrides(ticker, decisions, table, backend::closeIdleConnections);
        this.requests = new RequestLifecycle(open, decisions, log);
        SendEligibility eligibility = new SendEligibility(ticker, table::acceptsRequests, lease);
        AttemptLifecycle attempts =
            new AttemptLifecycle(ticker, backend, decisions, requests, table, eligibility, stalls, log);
        decisions.setExecutor(new ActionExecutor(ticker, decisions, requests, attempts, endpoints));
    }

    /**
     * Starts the decision module and the watch of the endpoint list. A pushed list is polled at once; a list from a shared
     * service only when the module decides to, the first time too.
     *
     * @param source where the list comes from
     * @param pushed whether the source is an agent on this machine, which serves this instance alone
     */
    public void start(EndpointSource source, boolean pushed) {
        endpoints.start(source, pushed, pushed || !control.pollsEndpoints());
        stalls.start();
        log.start();
        decisions.start();
    }

    /**
     * Starts the graceful shutdown: all requests that are open or still arrive get their final response by this clock
     * time.
     */
    public void startShutdown(double deadline) {
        decisions.handle(new ShutdownStarted(deadline));
    }

    /** Replaces the request classes and the maximum number of attempts; open requests keep their class. */
    public void changeSettings(List<RequestClass> classes, int maxAttempts) {
        decisions.handle(new SettingsChanged(classes, maxAttempts));
    }

    /** This process sends from now on in place of another one of the same instance; called before the first request. */
    public void predecessorReplaced() {
        decisions.handle(new PredecessorReplaced());
    }

    /** Restores the tokens that an earlier process left of volumes' limits; called before the first request. */
    public void restoreLimits(Map<String, Double> tokens) {
        decisions.handle(new LimitsRestored(tokens));
    }

    /** The process that this one replaces has ended without handing over its limits; called before the first request. */
    public void limitsNotHandedOver() {
        decisions.handle(new LimitsNotHandedOver());
    }

    /**
     * Gives up the limits and returns the tokens left of them, by volume, for the process that replaces this one. From now
     * on only queued requests whose tokens are kept are sent of volumes with a limit.
     */
    public Map<String, Double> handOverLimits() {
        log.limitsHandedOver();
        decisions.handle(new LimitsHandedOver());
        return control.handedOverLimits();
    }

    /** The tokens left of volumes' limits, by volume. */
    public Map<String, Double> limitTokens() {
        return control.limitTokens();
    }

    /** Turns logging of requests off, as for a warm-up. */
    public void disableLogging() {
        log.disable();
    }

    /** The counters of requests and attempts since the start, as one log line. */
    public String counters() {
        return log.summary();
    }

    // ---------------------------------------------------------------- requests

    /**
     * Submits a request. The router replaces the id in {@code arrival} by one of its own, since two clients may send the
     * same id.
     *
     * @param arrival what the decision module is notified of, with the client's own id for the log, or an empty one
     * @param message what is to be sent, in the form that the backend of the same protocol expects
     * @param callback gets the final response, possibly before this call returns
     */
    public Request submit(RequestArrived arrival, Object message, ResponseCallback callback) {
        return requests.submit(arrival, message, callback);
    }

    /** The client has disconnected: the request needs no response, and attempts in flight are cancelled. */
    public void clientDisconnected(Request request) {
        requests.clientDisconnected(request);
    }

    /** How many requests have no final response yet. */
    public int openRequests() {
        return requests.openCount();
    }

    /** The latest deadline of all requests without a final response, in clock time; negative infinity if there are none. */
    public double latestDeadline() {
        return requests.latestDeadline();
    }

    @Override public void setAdmissionFilter(AdmissionFilter filter) {
        requests.setAdmissionFilter(filter);
    }

    // ---------------------------------------------------------------- endpoint list

    /** Applies a complete cached endpoint list, to be used until the source has responded. */
    public void restoreEndpoints(List<ResolvedEndpoint> cached) {
        endpoints.restore(cached);
    }

    /** Applies an endpoint list that counts as up to date until the next one. */
    public void updateEndpoints(List<ResolvedEndpoint> received, boolean complete) {
        updateEndpoints(received, complete, Double.POSITIVE_INFINITY);
    }

    /**
     * Applies an endpoint list from its source.
     *
     * @param received the entries
     * @param complete whether these are all entries, or changes only
     * @param asOf clock time up to which this list and earlier ones contain all that the source had
     */
    public void updateEndpoints(List<ResolvedEndpoint> received, boolean complete, double asOf) {
        endpoints.update(received, complete, asOf);
    }

    /** Handles the failure of a poll made at {@code calledAt}, or of its watch; the endpoint list stays as it is. */
    public void endpointPollFailed(EndpointPollFailure failure, double calledAt) {
        endpoints.pollFailed(failure, calledAt);
    }

    /** Changes the source of the endpoint list; the new one is polled soon, and open requests continue. */
    public void changeEndpointSource(EndpointSource source, boolean pushed) {
        endpoints.changeSource(source, pushed);
    }

    /** Sets a task that runs once, when the source has responded or failed for the first time. */
    public void onFirstResponse(Runnable task) {
        endpoints.onFirstResponse(task);
    }

    @Override public void onEndpointsReceived(Consumer<List<Endpoint>> listener) {
        endpoints.onReceived(listener);
    }

    /** Whether a list has been received from the source since the start; a cached list does not count. Thread-safe. */
    public boolean hasReceivedEndpoints() {
        return endpoints.hasReceived();
    }

    /** Whether new requests may go to the node. */
    boolean acceptsRequests(String node) {
        return table.acceptsRequests(node);
    }

    // ---------------------------------------------------------------- overrides of the endpoint list

    /**
     * Puts the node into maintenance: it gets no new requests, and its idle connections are closed.
     *
     * @return false, and nothing is changed, if no list names the node and it is not in maintenance
     */
    public boolean startMaintenance(String node) {
        return overrides.startMaintenance(node);
    }

    /**
     * Ends the node's maintenance. It may have restarted meanwhile, so it counts as started now and is in slow start.
     *
     * @return false if the node is neither in maintenance nor named by a list
     */
    public boolean endMaintenance(String node) {
        return overrides.endMaintenance(node);
    }

    /** Starts and ends maintenance so that exactly these nodes are in it, as another process recorded. */
    public void setNodesInMaintenance(Set<String> nodes) {
        overrides.setNodesInMaintenance(nodes);
    }

    /** The nodes in maintenance, in order of their ids; a copy. */
    public Set<String> nodesInMaintenance() {
        return overrides.nodesInMaintenance();
    }

    /**
     * Restricts the nodes in use to these, with the time of their last start as listed, since another process of this
     * scheduler has a newer list; null lifts the restriction.
     */
    public void restrictEndpoints(Map<String, Double> usable) {
        overrides.restrictTo(usable);
    }

    /** The nodes that the list from the source allows to be used, without overrides, with the time of their last start. */
    public Map<String, Double> listedAsUsable() {
        return table.listedAsUsable();
    }

    @Override public void eject(Set<String> nodes) {
        overrides.eject(nodes);
    }

    // ---------------------------------------------------------------- fleet

    @Override public void suspect(Set<String> nodes) {
        decisions.handle(new NodesSuspected(nodes));
    }

    @Override public void limitRetries(double share, double window) {
        decisions.handle(new RetryBudgetChanged(share, window));
    }

    @Override public Map<String, Integer> unresponsiveNodes() {
        return control.unresponsiveNodes();
    }
}
