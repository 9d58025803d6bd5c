package kelphollow.routing;

import java.util.logging.Logger;

/**
 * Keeps the watch of the endpoint list going. A list that is polled is one service's work for all schedulers, so the
 * decision module says when to poll again after a failure. A pushed one comes from an agent on this machine that
 * serves this scheduler alone: the watch is renewed here. Guards against a scheduler that lives on the list it was
 * started with because no one polls. Confined to the event loop.
 */
final class EndpointWatch {
    private static final Logger LOG = Logger.getLogger(EndpointWatch.class.getName());

    private final Ticker ticker;
    private final double startedAt;
    private EndpointSource source = () -> {};
    private boolean pushed;
    private Ticker.Timeout retry;
    private boolean received;

    EndpointWatch(Ticker ticker) {
        this.ticker = ticker;
        this.startedAt = ticker.now();
    }

    /**
     * The list comes from this source from now on, and nothing more from the one before. {@link #poll} begins the
     * watch.
     */
    void follow(EndpointSource next, boolean nextIsPushed) {
        cancelRetry();
        source.stop();
        source = next;
        pushed = nextIsPushed;
    }

    /** Begins the watch, unless it goes on. */
    void poll() {
        source.watch();
    }

    /** A list has come from the source. */
    void received() {
        if (!received) {
            received = true;
            LOG.info(() -> "endpoint list: first received " + (long) (ticker.now() - startedAt) + " ms after the start");
        }
    }

    /** The watch has ended. Returns whether the decision module must say when it begins again. */
    boolean failed() {
        if (pushed) {
            cancelRetry();
            retry = ticker.after(EndpointUpdateBudget.AGENT_RETRY_DELAY_MS, source::watch);
        }
        return !pushed;
    }

    private void cancelRetry() {
        if (retry != null) {
            retry.cancel();
            retry = null;
        }
    }
}
