package kelphollow.program;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import kelphollow.protocol.mgmt.MgmtLine;
import kelphollow.protocol.mgmt.MgmtServer;

/**
 * Executes the operators' calls: {@code status} on the management loop, all others on the scheduler's loop. The nodes in
 * maintenance are written to a file before the call is acknowledged. Both processes of an upgrade poll that file, so a
 * call to either takes effect in both. Runs on the management loop.
 */
final class Management implements MgmtServer.CommandHandler {
    private static final Logger LOG = Logger.getLogger(Management.class.getName());
    private static final long POLL_INTERVAL_MS = 200;
    /** While there is another process: what it is told binds this one within the grace of draining nodes. */
    private static final long UPGRADE_POLL_INTERVAL_MS = 40;
    private static final double NANOS_PER_MS = 1e6;
    // After this time without a response from discovery a process reports ready and uses the configured endpoint list.
    private static final double READY_WITHOUT_ENDPOINTS_MS = 1_500;

    private final Scheduler scheduler;
    private final EventLoop loop;
    private final MaintenanceFile file;
    private final ProcessHandover handover;
    /** Null if this process is not replaced by one that runs beside it. */
    private final SiblingLists siblings;
    /** Calls whose change has been given to the router and is not written to the file yet. */
    private int openChanges;
    /** On the monotonic clock, in milliseconds; NaN until the process listens. */
    private volatile double listeningSince = Double.NaN;
    private volatile boolean shuttingDown;

    /**
     * Creates the handler; it runs after {@link #start}.
     *
     * @param maintenanceFile in the folder that both processes of an upgrade use
     * @param replaceable whether another process may run beside this one to replace it
     */
    Management(Scheduler scheduler, EventLoop loop, Path maintenanceFile, boolean replaceable) {
        this.scheduler = scheduler;
        this.loop = loop;
        this.file = new MaintenanceFile(maintenanceFile);
        this.handover = new ProcessHandover(maintenanceFile.getParent(), ProcessHandle.current().pid());
        this.siblings = replaceable ? new SiblingLists(scheduler, handover, ProcessHandle.current().pid()) : null;
    }

    /** Applies an earlier process's maintenance before the scheduler listens; starts polling and the liveness updates. */
    void start() {
        removeLeftovers();
        loop.submit(this::applyFileChange).syncUninterruptibly();
        loop.scheduleWithFixedDelay(handover::showAlive, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.execute(this::poll);
    }

    /** Applies what the other process has written, and writes what it has to know. */
    private void poll() {
        applyFileChange();
        boolean upgrading = siblings != null && siblings.exchange();
        loop.schedule(this::poll, upgrading ? UPGRADE_POLL_INTERVAL_MS : POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Writes this process's endpoint list for the one that takes over; blocks until that is done. */
    void publishList() {
        if (siblings != null) {
            loop.submit(siblings::publish).syncUninterruptibly();
        }
    }

    /** Has the endpoint list of the other process applied before any later task of the scheduler's loop; blocks. */
    void readSiblingList() {
        if (siblings != null) {
            loop.submit(siblings::exchange).syncUninterruptibly();
        }
    }

    private void removeLeftovers() {
        try {
            handover.removeLeftovers();
        } catch (IOException e) {
            LOG.warning("hand-over of an earlier process not removed: " + e.getMessage());
        }
    }

    ProcessHandover handover() {
        return handover;
    }

    /** Called once clients are accepted, or will be when the old process stops; the first call counts. */
    void listening() {
        if (Double.isNaN(listeningSince)) {
            listeningSince = monotonicMs();
        }
    }

    private static double monotonicMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    void shutdownStarted() {
        shuttingDown = true;
    }

    @Override public CompletionStage<String> handle(MgmtLine.Command command) {
        return switch (command.verb()) {
            case STATUS -> CompletableFuture.completedFuture(status());
            case FLEET_STATUS -> scheduler.onLoop(router -> scheduler.fleetStatus())
                .thenApply(text -> text == null ? "NAK this instance is in no fleet" : "ACK " + text);
            case MAINTENANCE_ON -> {
                openChanges++;
                yield scheduler.onLoop(router -> router.startMaintenance(command.node()))
                    .thenComposeAsync(known -> acknowledge(command.node(), true, known), loop);
            }
            case MAINTENANCE_OFF -> {
                openChanges++;
                yield scheduler.onLoop(router -> router.endMaintenance(command.node()))
                    .thenComposeAsync(known -> acknowledge(command.node(), false, known), loop);
            }
        };
    }

    private String status() {
        if (shuttingDown) {
            return "NAK leaving";
        }
        double since = listeningSince;
        if (Double.isNaN(since)) {
            return "NAK starting";
        }
        boolean ready = scheduler.hasReceivedEndpoints()
            || monotonicMs() - since >= READY_WITHOUT_ENDPOINTS_MS;
        return ready ? "ACK ready" : "NAK waiting for discovery";
    }

    /** Writes the change to the file, applies what the file then says, and returns the answer. */
    private CompletionStage<String> acknowledge(String node, boolean inMaintenance, boolean known) {
        openChanges--;
        if (!known) {
            return CompletableFuture.completedFuture("NAK no storage node is named " + node);
        }
        String answer = "ACK " + node + (inMaintenance ? " is out" : " may serve");
        try {
            return apply(file.change(node, inMaintenance)).thenApply(applied -> answer);
        } catch (IOException e) {
            LOG.warning("maintenance file not written: " + e.getMessage());
            return CompletableFuture.completedFuture(answer + "; not kept for the next process: " + e.getMessage());
        }
    }

    /**
     * Applies the maintenance file to the router if another process has changed it; not while a change is on its way from
     * the router to the file, which does not have it yet.
     */
    private void applyFileChange() {
        Set<String> nodes = openChanges > 0 ? null : file.readChange();
        if (nodes != null) {
            apply(nodes);
        }
    }

    private CompletionStage<Void> apply(Set<String> nodes) {
        return scheduler.onLoop(router -> {
            router.setNodesInMaintenance(nodes);
            return null;
        });
    }
}
