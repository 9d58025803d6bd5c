package kelphollow.program;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Logger;
import kelphollow.routing.Invariant;
import kelphollow.routing.RequestRouter;

/** What SIGTERM starts: the scheduler leaves, what must outlive the process is written, and the process ends with code 0. */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());
    // In milliseconds. Nothing waits longer than the longest deadline; the rest is for responses to slow readers.
    private static final double SLACK = 500;
    // In milliseconds.
    private static final long LIMITS_TIMEOUT = 500;

    private final Scheduler scheduler;
    /** Null without a management address. */
    private final Management management;
    private final double longestDeadline;

    /** {@code longestDeadline} is that of any class, in milliseconds. */
    GracefulShutdown(Scheduler scheduler, Management management, double longestDeadline) {
        this.scheduler = scheduler;
        this.management = management;
        this.longestDeadline = longestDeadline;
    }

    /** Makes it the process's shutdown hook; gives the hook, by which it may be removed. */
    Thread register() {
        Thread hook = new Thread(this::run, "leave");
        Runtime.getRuntime().addShutdownHook(hook);
        return hook;
    }

    private void run() {
        if (management != null) {
            management.leaving();
        }
        CountDownLatch left = new CountDownLatch(1);
        scheduler.leave(left::countDown);
        if (management != null && scheduler.hasInheritedSocket()) {
            handOverLimits();
        }
        boolean allLeft = await(left);
        LOG.info(scheduler.counters());
        if (allLeft) {
            scheduler.end();
        } else {
            scheduler.close();
        }
        System.err.println("kelphollow: left" + (allLeft ? "" : " with connections open") + "; "
            + Invariant.broken() + " invariants broken");
        Runtime.getRuntime().halt(0);   // an exit by signal would tell of a failure
    }

    private void handOverLimits() {
        try {
            management.handover().handOver(scheduler.onLoop(RequestRouter::limitTokens).get(LIMITS_TIMEOUT,
                TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            management.handover().handOver(Map.of());
        }
    }

    private boolean await(CountDownLatch left) {
        try {
            return left.await((long) (scheduler.acceptsFor() + longestDeadline + SLACK), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
