package kelphollow.program;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import kelphollow.routing.Invariant;
import kelphollow.routing.RequestRouter;

/** The shutdown hook for SIGTERM: drains the scheduler, writes the state that must survive, and exits with code 0. */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());
    // In milliseconds. No request waits longer than the longest deadline; this is extra time for responses to slow readers.
    private static final double SLOW_READER_GRACE_MS = 500;

    private final Scheduler scheduler;
    /** Null without a management address. */
    private final Management management;
    private final double longestDeadline;

    /** {@code longestDeadline} is the maximum over all classes, in milliseconds. */
    GracefulShutdown(Scheduler scheduler, Management management, double longestDeadline) {
        this.scheduler = scheduler;
        this.management = management;
        this.longestDeadline = longestDeadline;
    }

    /** Registers this as a JVM shutdown hook; returns the hook's thread, with which the hook can be removed. */
    Thread register() {
        Thread hook = new Thread(this::run, "leave");
        Runtime.getRuntime().addShutdownHook(hook);
        return hook;
    }

    private void run() {
        if (management != null) {
            management.shutdownStarted();
        }
        CountDownLatch done = new CountDownLatch(1);
        scheduler.shutDown(done::countDown);
        if (management != null && scheduler.hasInheritedSocket()) {
            handOverLimits();
        }
        boolean drained = await(done);
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

    private boolean await(CountDownLatch done) {
        try {
            return done.await((long) (scheduler.acceptsFor() + longestDeadline + SLOW_READER_GRACE_MS),
                TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
