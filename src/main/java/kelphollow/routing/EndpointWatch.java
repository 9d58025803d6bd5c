package kelphollow.routing;

import java.util.logging.Logger;

/**
 * Keeps the watch of the endpoint list active. A polled list comes from one service that serves all schedulers, so the
 * decision module decides when to poll again after a failure. A pushed list comes from an agent on this machine that
 * serves this scheduler alone, so the watch is renewed here. Prevents a scheduler from running on its initial list because
 * nothing polls. Confined to the event loop.
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
     * Replaces the source; the one before is stopped. {@link #poll} begins the watch.
     */
    void follow(EndpointSource next, boolean nextIsPushed) {
        cancelRetry();
        source.stop();
        source = next;
        pushed = nextIsPushed;
    }

    /** Begins the watch, unless one is active. */
    void poll() {
        source.watch();
    }

    /** Records that the source has sent a list. */
    void received() {
        if (!received) {
            received = true;
            LOG.info(() -> "endpoint list: first received " + (long) (ticker.now() - startedAt) + " ms after start");
        }
    }

    /** Handles the failure of the watch. Returns whether the decision module must decide when to begin it again. */
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
