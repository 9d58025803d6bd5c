package kelphollow.routing;

import java.util.logging.Logger;

/**
 * Keeps the watch of the node list going. A list that must be asked for is one service's work for all schedulers, so
 * the module says when to ask again after a failure. A pushed one is had from an agent on this machine, at no cost and
 * for this scheduler alone: nobody decides anything there, and the watch is renewed here. Guards against a scheduler
 * that lives on the list it was started with because no one asked. Lives on the core's event loop.
 */
final class EndpointWatch {
    private static final Logger LOG = Logger.getLogger(EndpointWatch.class.getName());

    private final Ticker ticker;
    private EndpointSource directory = () -> {};
    private boolean pushed;
    private Ticker.Timeout renewal;
    private final double startedAt;
    private boolean heard;

    EndpointWatch(Ticker ticker) {
        this.ticker = ticker;
        this.startedAt = ticker.now();
    }

    /** The list comes from here from now on; whatever came before tells nothing more. {@link #ask} begins the watch. */
    void follow(EndpointSource next, boolean isPushed) {
        cancel();
        directory.stop();
        directory = next;
        pushed = isPushed;
    }

    /** Begins the watch, unless it goes on. */
    void ask() {
        directory.watch();
    }

    /** A list has come. */
    void heard() {
        if (!heard) {
            heard = true;
            LOG.info(() -> "node list: first heard " + (long) (ticker.now() - startedAt) + " ms after the start");
        }
    }

    /** The watch has ended. Returns whether the module must say when it begins again. */
    boolean failed() {
        if (pushed) {
            cancel();
            renewal = ticker.after(EndpointUpdateBudget.AGENT_PAUSE, directory::watch);
        }
        return !pushed;
    }

    private void cancel() {
        if (renewal != null) {
            renewal.cancel();
            renewal = null;
        }
    }
}
