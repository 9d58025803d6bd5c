package kelphollow.routing;

import java.util.List;
import java.util.function.Consumer;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointLeaseRenewed;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointSourceChanged;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.EndpointListLease;

/**
 * Receives the endpoint list and its updates. Maintains the table, the watch and the lease on the list, and notifies the
 * decision module of the entries and of the time until which they are valid. Confined to the event loop, except for
 * {@link #hasReceived}.
 */
final class EndpointList {
    private final Ticker ticker;
    private final DecisionLoop decisions;
    private final EndpointTable table;
    private final EndpointListLease lease;
    private final EndpointWatch watch;
    private final Consumer<String> closeIdleConnections;
    private Consumer<List<Endpoint>> listener = endpoints -> {};
    private Runnable firstResponse = () -> {};
    private volatile boolean received;
    /** Clock time until which the list is valid, as the decision module was last notified. */
    private double notifiedValidUntil = Double.POSITIVE_INFINITY;

    /** {@code closeIdleConnections}: closes the idle connections to a node. */
    EndpointList(Ticker ticker, DecisionLoop decisions, EndpointTable table, EndpointListLease lease,
        Consumer<String> closeIdleConnections) {
        this.ticker = ticker;
        this.decisions = decisions;
        this.table = table;
        this.lease = lease;
        this.watch = new EndpointWatch(ticker);
        this.closeIdleConnections = closeIdleConnections;
    }

    /**
     * Starts to receive the list from this source.
     *
     * @param pushed whether it comes from an agent that serves this instance alone
     * @param pollNow whether the watch begins at once, without the decision module polling
     */
    void start(EndpointSource source, boolean pushed, boolean pollNow) {
        notifyLease();
        watch.follow(source, pushed);
        if (pollNow) {
            watch.poll();
        }
    }

    /** Changes the source. A pushed list is polled at once; the decision module decides when to poll another. */
    void changeSource(EndpointSource source, boolean pushed) {
        watch.follow(source, pushed);
        lease.sourceChanged(ticker.now());
        notifyLease();
        if (pushed) {
            watch.poll();
        } else {
            decisions.handle(new EndpointSourceChanged());
        }
    }

    /** Begins the watch, unless one is active. */
    void poll() {
        watch.poll();
    }

    /** Applies a complete cached list. It renews no lease and does not count as received from the source. */
    void restore(List<ResolvedEndpoint> cached) {
        apply(cached, true, true);
    }

    /** Applies a list from the source; {@code asOf}: the clock time up to which it contains all that the source had. */
    void update(List<ResolvedEndpoint> endpoints, boolean complete, double asOf) {
        received = true;
        watch.received();
        lease.confirmed(asOf);
        apply(endpoints, complete, false);
        notifyFirstResponse();
        listener.accept(endpoints.stream().map(ResolvedEndpoint::endpoint).toList());
    }

    private void apply(List<ResolvedEndpoint> endpoints, boolean complete, boolean cached) {
        EndpointTable.Update update = table.update(endpoints, complete);
        decisions.handle(new EndpointsReceived(update.effective(), complete, cached));
        notifyLease();
        update.unusable().forEach(closeIdleConnections);
    }

    /** Handles the failure of a poll made at {@code calledAt}, or of its watch; the list stays as it is. */
    void pollFailed(EndpointPollFailure failure, double calledAt) {
        notifyFirstResponse();
        lease.failed(failure, calledAt, ticker.now() - calledAt);
        if (watch.failed()) {
            decisions.handle(new EndpointPollFailed(failure));
        }
        notifyLease();
    }

    /** Sets a task that runs once, when the source has responded or failed for the first time. */
    void onFirstResponse(Runnable task) {
        firstResponse = task;
    }

    private void notifyFirstResponse() {
        Runnable task = firstResponse;
        firstResponse = () -> {};
        task.run();
    }

    /** Sets the listener that gets the entries of each list from the source, once the list has been applied. */
    void onReceived(Consumer<List<Endpoint>> next) {
        listener = next;
    }

    /** Whether a list has been received from the source since the start; safe from any thread. */
    boolean hasReceived() {
        return received;
    }

    /** Notifies the decision module of the lease if it has changed; called after the module knows the entries it covers. */
    private void notifyLease() {
        double validUntil = lease.validUntil();
        if (validUntil != notifiedValidUntil) {
            notifiedValidUntil = validUntil;
            decisions.handle(new EndpointLeaseRenewed(validUntil));
        }
    }
}
