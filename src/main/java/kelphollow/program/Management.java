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
import kelphollow.maintenance.Bans;
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
    // Without a word from discovery a process says it is ready so long after it listens, on the list it was given.
    private static final double READY_WITHOUT_LIST = 1_500;
    private final Scheduler scheduler;
    private final EventLoop own;
    private final Path file;
    private volatile double listeningAt = Double.NaN;
    private volatile boolean leaving;
    /** The text of the file as this process last wrote or read it; touched on the management loop only. */
    private String lastText = "";

    Management(Scheduler scheduler, EventLoop own, Path file) {
        this.scheduler = scheduler;
        this.own = own;
        this.file = file;
    }

    /** {@code $TMPDIR}, the one place that can be written to, shared by both processes of an upgrade. */
    static Path bansFile() {
        String tmp = System.getenv("TMPDIR");
        return Path.of(tmp == null || tmp.isEmpty() ? System.getProperty("java.io.tmpdir") : tmp, "kelphollow-bans");
    }

    /** Takes the bans that an earlier process left, before the scheduler listens. */
    void start() {
        own.submit(this::look).syncUninterruptibly();
        own.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
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
            case MAINT_ON -> scheduler.onLoop(core -> core.ban(call.node()) ? core.bans() : null)
                .thenApplyAsync(bans -> bans == null ? "NAK no storage node is named " + call.node()
                    : keep(bans, "ACK " + call.node() + " is out"), own);
            case MAINT_OFF -> scheduler.onLoop(core -> core.lift(call.node()) ? core.bans() : null)
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
        boolean listed = scheduler.heardList() || System.currentTimeMillis() - at >= READY_WITHOUT_LIST;
        return listed ? "ACK ready" : "NAK waiting for discovery";
    }

    /** Writes the bans whole, then renames: a reader sees the old text or the new one, never a part. */
    private String keep(Set<String> bans, String answer) {
        String text = Bans.text(bans);
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
            Set<String> told = Bans.read(text);
            lastText = text;
            scheduler.onLoop(core -> {
                core.adoptBans(told);
                return null;
            });
        } catch (IllegalArgumentException e) {
            LOG.fine(() -> "bans file not taken yet: " + e.getMessage());
        }
    }
}
