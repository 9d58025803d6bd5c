package kelphollow.program;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.logging.Logger;
import kelphollow.routing.Invariant;
import kelphollow.routing.RequestRouter;

/** The shutdown hook for SIGTERM: drains the scheduler, writes the state that must survive, and exits with code 0. */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    private final Scheduler scheduler;
    /** Null without a management address. */
    private final Management management;

    /** {@code management} may be null. */
    GracefulShutdown(Scheduler scheduler, Management management) {
        this.scheduler = scheduler;
        this.management = management;
    }

    /** Registers this as a JVM shutdown hook; returns the hook's thread, with which the hook can be removed. */
    Thread register() {
        Thread hook = new Thread(this::run, "leave");
        Runtime.getRuntime().addShutdownHook(hook);
        return hook;
    }

    private void run() {
        boolean drained = drain();
        LOG.info(scheduler.counters());
        if (drained) {
            scheduler.closeAfterShutdown();
        } else {
            scheduler.close();
        }
        System.err.println("kelphollow: left" + (drained ? "" : " with connections open") + "; "
            + Invariant.broken() + " invariants broken");
        Runtime.getRuntime().halt(0);   // without it the exit code would be the signal's, which reports a failure
    }

    /** Stops accepting and waits until all is answered and closed; returns false if connections stay open for too long. */
    private boolean drain() {
        if (management != null) {
            management.shutdownStarted();
        }
        CompletableFuture<Boolean> drained = scheduler.drain();
        if (management != null && scheduler.hasInheritedSocket()) {
            handOverLimits();
        }
        return drained.join();
    }

    /** A next process without this file knows that the limits are unknown to it once this process has ended. */
    private void handOverLimits() {
        try {
            Map<String, Double> tokens = scheduler.onLoop(RequestRouter::handOverLimits).get();
            management.publishList();
            management.handover().handOver(tokens);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            LOG.warning("limits not handed over: " + e.getCause());
        }
    }
}
