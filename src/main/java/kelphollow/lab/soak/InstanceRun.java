package kelphollow.lab.soak;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One process of an instance, from its start to its exit, which is recorded once. Not thread-safe. */
final class InstanceRun {
    /** The platform kills no sooner than this after SIGTERM: the longest deadline that counts plus 0.7 s. */
    private static final double MIN_KILL_DELAY_MS = 3_700;
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private final int instance;
    private final SoakHistory history;
    private final ProcessHandle handle;
    private final CompletableFuture<Integer> exitCode;
    private final double startedAt;
    private double termAt = Double.POSITIVE_INFINITY;
    private boolean exitRecorded;

    InstanceRun(int instance, SoakHistory history, ProcessHandle handle, CompletableFuture<Integer> exitCode) {
        this.instance = instance;
        this.history = history;
        this.handle = handle;
        this.exitCode = exitCode;
        this.startedAt = history.now();
    }

    long pid() {
        return handle.pid();
    }

    double startedAt() {
        return startedAt;
    }

    boolean isAlive() {
        return !exitCode.isDone();
    }

    boolean isTerminating() {
        return termAt < Double.POSITIVE_INFINITY;
    }

    /** Sends SIGTERM without waiting. */
    void terminate() {
        termAt = history.now();
        handle.destroy();
    }

    /** Sends SIGKILL and waits for the exit. */
    void kill() throws InterruptedException {
        handle.destroyForcibly();
        awaitExitCode();
        recordExit(true);
    }

    /** Whether the process has exited; it is killed as early as the platform may kill it after SIGTERM. */
    boolean hasExited() throws InterruptedException {
        if (!isAlive()) {
            recordExit(false);
            return true;
        }
        if (history.now() - termAt > MIN_KILL_DELAY_MS) {
            kill();
            return true;
        }
        return false;
    }

    private int awaitExitCode() throws InterruptedException {
        try {
            return exitCode.get(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("process " + handle.pid() + " has not exited", e);
        }
    }

    private void recordExit(boolean killed) throws InterruptedException {
        if (!exitRecorded) {
            exitRecorded = true;
            history.add(new SoakHistory.Incarnation(instance, startedAt, termAt, history.now(), killed, awaitExitCode()));
        }
    }
}
