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
 * Carries out the operators' calls: {@code status} from what this side knows, maintenance on the scheduler's loop. The
 * nodes in maintenance are kept in a file before the call is acknowledged, and that file is read again and again, so
 * that a call to either process of an upgrade binds both. Runs on the management loop.
 */
final class Management implements MgmtServer.CommandHandler {
    private static final Logger LOG = Logger.getLogger(Management.class.getName());
    private static final long POLL_INTERVAL_MS = 200;
    // In milliseconds after it listens; without a response of discovery a process is ready then, on the list it was given.
    private static final double READY_WITHOUT_ENDPOINTS = 1_500;

    private final Scheduler scheduler;
    private final EventLoop loop;
    private final MaintenanceFile file;
    private final ProcessHandover handover;
    /** In Unix milliseconds, NaN while it is starting. */
    private volatile double listeningSince = Double.NaN;
    private volatile boolean leaving;

    /** {@code maintenanceFile} lies in the folder that the processes of an upgrade have in common. */
    Management(Scheduler scheduler, EventLoop loop, Path maintenanceFile) {
        this.scheduler = scheduler;
        this.loop = loop;
        this.file = new MaintenanceFile(maintenanceFile);
        this.handover = new ProcessHandover(maintenanceFile.getParent(), ProcessHandle.current().pid());
    }

    /** Takes over the maintenance of an earlier process, before the scheduler listens; shows that this one lives. */
    void start() {
        loop.submit(this::followFile).syncUninterruptibly();
        loop.scheduleWithFixedDelay(this::followFile, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(handover::showAlive, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    ProcessHandover handover() {
        return handover;
    }

    /** Clients are accepted, or will be as soon as the process before lets them go; {@code now} in Unix milliseconds. */
    void listening(double now) {
        listeningSince = now;
    }

    void leaving() {
        leaving = true;
    }

    @Override public CompletionStage<String> handle(MgmtLine.Command command) {
        return switch (command.verb()) {
            case STATUS -> CompletableFuture.completedFuture(status());
            case FLEET_STATUS -> scheduler.onLoop(router -> scheduler.fleetStatus())
                .thenApply(text -> text == null ? "NAK this instance is in no fleet" : "ACK " + text);
            case MAINTENANCE_ON -> scheduler.onLoop(router -> router.startMaintenance(command.node()) ? router
                .nodesInMaintenance() : null)
                .thenApplyAsync(nodes -> acknowledge(command.node(), nodes, " is out"), loop);
            case MAINTENANCE_OFF -> scheduler.onLoop(router -> router.endMaintenance(command.node()) ? router
                .nodesInMaintenance() : null)
                .thenApplyAsync(nodes -> acknowledge(command.node(), nodes, " may serve"), loop);
        };
    }

    private String status() {
        if (leaving) {
            return "NAK leaving";
        }
        double since = listeningSince;
        if (Double.isNaN(since)) {
            return "NAK starting";
        }
        boolean ready = scheduler.hasReceivedEndpoints()
            || System.currentTimeMillis() - since >= READY_WITHOUT_ENDPOINTS;
        return ready ? "ACK ready" : "NAK waiting for discovery";
    }

    /** Keeps the nodes in maintenance, null if the call's node is not known, and words the answer. */
    private String acknowledge(String node, Set<String> nodes, String outcome) {
        if (nodes == null) {
            return "NAK no storage node is named " + node;
        }
        String answer = "ACK " + node + outcome;
        try {
            file.write(nodes);
            return answer;
        } catch (IOException e) {
            LOG.warning("bans not kept: " + e.getMessage());
            return answer + "; not kept for the next process: " + e.getMessage();
        }
    }

    /** Follows the file when another process has changed it. */
    private void followFile() {
        Set<String> nodes = file.readChange();
        if (nodes != null) {
            scheduler.onLoop(router -> {
                router.setNodesInMaintenance(nodes);
                return null;
            });
        }
    }
}
