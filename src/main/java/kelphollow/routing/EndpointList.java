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
 * Receives the endpoint list and its updates: keeps the table, the watch and the lease on the list, and notifies the
 * decision module of what it holds and until when that may be acted on. Confined to the event loop, but for {@link
 * #hasReceived}.
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
    /** Until when the list is valid, by the last notice of it to the decision module. */
    private double notifiedValidUntil = Double.POSITIVE_INFINITY;

    /** {@code closeIdleConnections}: closes the connections to a node that carry nothing. */
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
     * Begins with the list of this source.
     *
     * @param pushed whether it comes from an agent that serves this instance alone
     * @param pollNow whether the watch begins at once, whatever the decision module does
     */
    void start(EndpointSource source, boolean pushed, boolean pollNow) {
        notifyLease();
        watch.follow(source, pushed);
        if (pollNow) {
            watch.poll();
        }
    }

    /** Changes to the list of another source; a pushed one is polled at once, else the decision module says when. */
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

    /** Begins the watch, unless it goes on. */
    void poll() {
        watch.poll();
    }

    /** Takes a complete list that was cached: it renews no lease, and the source is still waited for. */
    void restore(List<ResolvedEndpoint> cached) {
        apply(cached, true, true);
    }

    /** Takes a list from the source; {@code asOf}: the clock time up to which it holds all that the source had. */
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

    /** A poll made at {@code calledAt}, or its watch, has failed; the list stands as it is. */
    void pollFailed(EndpointPollFailure failure, double calledAt) {
        notifyFirstResponse();
        lease.failed(failure, calledAt, ticker.now() - calledAt);
        if (watch.failed()) {
            decisions.handle(new EndpointPollFailed(failure));
        }
        notifyLease();
    }

    /** The task runs once, when the source has answered or failed for the first time. */
    void onFirstResponse(Runnable task) {
        firstResponse = task;
    }

    private void notifyFirstResponse() {
        Runnable task = firstResponse;
        firstResponse = () -> {};
        task.run();
    }

    /** Sets who is notified of the entries of each list from the source, once it has been applied. */
    void onReceived(Consumer<List<Endpoint>> next) {
        listener = next;
    }

    /** Whether a list has come from the source since the start; safe from any thread. */
    boolean hasReceived() {
        return received;
    }

    /** Notifies the decision module of the lease if it has changed; it must know before what the lease rests on. */
    private void notifyLease() {
        double validUntil = lease.validUntil();
        if (validUntil != notifiedValidUntil) {
            notifiedValidUntil = validUntil;
            decisions.handle(new EndpointLeaseRenewed(validUntil));
        }
    }
}
