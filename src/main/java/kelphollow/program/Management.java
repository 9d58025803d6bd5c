package kelphollow.program;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import kelphollow.maintenance.MaintenanceSet;
import kelphollow.protocol.mgmt.MgmtLine;
import kelphollow.protocol.mgmt.MgmtServer;

/**
 * The operators' calls, carried out: {@code status} from what this side knows, bans on the scheduler's loop. Bans
 * are kept in a file of {@code $TMPDIR} before they are acknowledged, and that file is read again every
 * {@link #LOOK_MS} ms, so that a ban told to either process of an upgrade binds both.
 */
final class Management implements MgmtServer.Calls {
    private static final Logger LOG = Logger.getLogger(Management.class.getName());
    static final long LOOK_MS = 200;
    static final long HANDOVER_LOOK_MS = 20;
    // Without a word from discovery a process says it is ready so long after it listens, on the list it was given.
    private static final double READY_WITHOUT_LIST = 1_500;
    private final Scheduler scheduler;
    private final EventLoop own;
    private final Path file;
    private volatile double listeningAt = Double.NaN;
    private volatile boolean leaving;
    /** The text of the file as this process last wrote or read it; touched on the management loop only. */
    private String lastText = "";

    private final long pid;

    Management(Scheduler scheduler, EventLoop own, Path file) {
        this(scheduler, own, file, ProcessHandle.current().pid());
    }

    /** {@code pid} tells this process from the other one of an upgrade; tests give two in one process. */
    Management(Scheduler scheduler, EventLoop own, Path file, long pid) {
        this.scheduler = scheduler;
        this.own = own;
        this.file = file;
        this.pid = pid;
    }

    /** {@code $TMPDIR}, the one place that can be written to, shared by both processes of an upgrade. */
    static Path bansFile() {
        return inTmp("kelphollow-bans");
    }

    /** The same for an installation that runs several instances on one machine. */
    static Path bansFile(String instance) {
        return inTmp("kelphollow-bans-" + instance);
    }

    private static Path inTmp(String name) {
        String tmp = System.getenv("TMPDIR");
        return Path.of(tmp == null || tmp.isEmpty() ? System.getProperty("java.io.tmpdir") : tmp, name);
    }

    /** Takes the bans that an earlier process left, before the scheduler listens; shows that this one lives. */
    void start() {
        own.submit(this::look).syncUninterruptibly();
        own.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        own.scheduleWithFixedDelay(this::live, 0, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private Path alive(long pid) {
        return file.resolveSibling("kelphollow-alive-" + pid);
    }

    private Path handedOver(long pid) {
        return file.resolveSibling("kelphollow-handover-" + pid);
    }

    void live() {
        try {
            Path mine = alive(pid);
            if (!Files.exists(mine)) {
                Files.writeString(mine, "");
            }
            Files.setLastModifiedTime(mine, java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis()));
        } catch (IOException e) {
            LOG.fine(() -> "cannot show that this process lives: " + e.getMessage());
        }
    }

    /** Another process of this scheduler that showed within the last second that it lives, or -1. */
    long other() {
        long me = pid;
        try (var files = Files.list(file.getParent())) {
            return files.map(f -> f.getFileName().toString()).filter(n -> n.startsWith("kelphollow-alive-"))
                .mapToLong(n -> Long.parseLong(n.substring("kelphollow-alive-".length())))
                .filter(pid -> pid != me && fresh(alive(pid))).findFirst().orElse(-1);
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
    }

    private static boolean fresh(Path path) {
        try {
            return System.currentTimeMillis() - Files.getLastModifiedTime(path).toMillis() < 1_000;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Waits, on the caller's thread, until the process before has stopped taking clients, and returns the levels
     * of the volumes' limits that it left: from then on only this process spends them. Gives up waiting, with no
     * levels, once the other shows no life for a second or after {@code most} ms.
     */
    java.util.Map<String, Double> awaitHandover(long pid, double most) throws InterruptedException {
        long until = System.currentTimeMillis() + (long) most;
        while (System.currentTimeMillis() < until) {
            Path left = handedOver(pid);
            if (Files.exists(left)) {
                try {
                    return LimitHandoverFile.read(Files.readString(left, StandardCharsets.US_ASCII));
                } catch (IOException | IllegalArgumentException e) {
                    LOG.fine(() -> "handover not whole yet: " + e.getMessage());
                }
            } else if (!fresh(alive(pid))) {
                return java.util.Map.of();
            }
            Thread.sleep(HANDOVER_LOOK_MS);
        }
        return java.util.Map.of();
    }

    /** Written by the old process once it takes no new clients: what its volumes' limits hold. */
    void handOver(java.util.Map<String, Double> levels) {
        Path part = handedOver(pid).resolveSibling("kelphollow-handover.part");
        try {
            Files.writeString(part, LimitHandoverFile.text(levels), StandardCharsets.US_ASCII);
            Files.move(part, handedOver(pid), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warning("limits not handed over: " + e.getMessage());
        }
    }

    void listening(double now) {
        listeningAt = now;
    }

    void leaving() {
        leaving = true;
    }

    @Override public CompletionStage<String> call(MgmtLine.Call call) {
        return switch (call.verb()) {
            case STATUS -> CompletableFuture.completedFuture(status());
            case FLEET_STATUS -> scheduler.onLoop(router -> scheduler.fleetStatus())
                .thenApply(text -> text == null ? "NAK this instance is in no fleet" : "ACK " + text);
            case MAINT_ON -> scheduler.onLoop(router -> router.startMaintenance(call.node()) ? router.nodesInMaintenance()
                : null)
                .thenApplyAsync(bans -> bans == null ? "NAK no storage node is named " + call.node()
                    : keep(bans, "ACK " + call.node() + " is out"), own);
            case MAINT_OFF -> scheduler.onLoop(router -> router.endMaintenance(call.node()) ? router.nodesInMaintenance()
                : null)
                .thenApplyAsync(bans -> bans == null ? "NAK no storage node is named " + call.node()
                    : keep(bans, "ACK " + call.node() + " may serve"), own);
        };
    }

    private String status() {
        if (leaving) {
            return "NAK leaving";
        }
        double at = listeningAt;
        if (Double.isNaN(at)) {
            return "NAK starting";
        }
        boolean listed = scheduler.hasReceivedEndpoints() || System.currentTimeMillis() - at >= READY_WITHOUT_LIST;
        return listed ? "ACK ready" : "NAK waiting for discovery";
    }

    /** Writes the bans whole, then renames: a reader sees the old text or the new one, never a part. */
    private String keep(Set<String> bans, String answer) {
        String text = MaintenanceSet.format(bans);
        try {
            Path part = file.resolveSibling(file.getFileName() + ".part");
            Files.writeString(part, text, StandardCharsets.US_ASCII);
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            lastText = text;
            return answer;
        } catch (IOException e) {
            LOG.warning("bans not kept: " + e.getMessage());
            return answer + "; not kept for the next process: " + e.getMessage();
        }
    }

    /** Follows the file when another process has changed it. */
    private void look() {
        String text;
        try {
            text = Files.exists(file) ? Files.readString(file, StandardCharsets.US_ASCII) : "";
        } catch (IOException e) {
            return;
        }
        if (text.equals(lastText) || text.isEmpty()) {
            return;
        }
        try {
            Set<String> told = MaintenanceSet.parse(text);
            lastText = text;
            scheduler.onLoop(router -> {
                router.adoptMaintenance(told);
                return null;
            });
        } catch (IllegalArgumentException e) {
            LOG.fine(() -> "bans file not taken yet: " + e.getMessage());
        }
    }
}
