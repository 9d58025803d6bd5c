package kelphollow.store;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * Group commit: takes the queued batches, has the {@link CommitLog} write them to both copies, syncs once and acknowledges
 * them. Only its thread (the caller's with {@link StoreOptions#inline}) uses the log; other threads submit tasks. The first
 * I/O error stops all writing: writes in progress and all later ones fail with the fault, since after a failed sync the
 * contents of the disk are unknown.
 */
final class Writer implements Runnable {
    /** Delay after the last write until unsynced data is synced; a commit marker alone counts as unsynced too. */
    private static final long IDLE_SYNC_MILLIS = 1_000;

    private final CommitLog log;
    private final StoreOptions options;
    private final WriteQueue queue;
    private final Consumer<StoreFault> onFault;

    /** Calls {@code onFault} with each fault that stops writing, on the thread that detected it. */
    Writer(CommitLog log, StoreOptions options, Consumer<StoreFault> onFault) {
        this.log = log;
        this.options = options;
        this.queue = new WriteQueue(options);
        this.onFault = onFault;
    }

    // ---------------------------------------------------------------- any thread

    /** Queues a write without blocking. The callback runs on its executor, also when the write is rejected immediately. */
    void submit(PendingWrite write) {
        StoreFault rejection = queue.offer(write);
        if (rejection != null) {
            write.complete(rejection);
        } else if (options.inline()) {
            runOnce(false);
        }
    }

    /** Runs a task on the writer's thread between two groups, waits for its result and rethrows its exception. */
    <T> T call(PendingTask.LogTask<T> task) throws IOException, StoreFault {
        PendingTask<T> pending = new PendingTask<>(task);
        queue.offer(pending);
        if (options.inline()) {
            runOnce(false);
        }
        return pending.await();
    }

    /** A task without a result. */
    interface LogAction {
        void run(CommitLog log) throws IOException;
    }

    /** Like {@link #call}, for a task without a result. */
    void run(LogAction action) throws IOException, StoreFault {
        this.<Void>call(commitLog -> {
            action.run(commitLog);
            return null;
        });
    }

    /** Stops all writing because of a fault that was detected elsewhere. */
    void stop(StoreFault fault) {
        queue.stop(fault);
        onFault.accept(fault);
    }

    /** The fault that stopped writing, or null. */
    StoreFault fault() {
        return queue.fault();
    }

    /** Writes the queued batches, marks the log as cleanly closed, and ends the writer. */
    void close() {
        queue.beginClose();
        if (options.inline()) {
            runOnce(true);
        }
        queue.awaitClosed();
    }

    // ---------------------------------------------------------------- the writer's thread

    /** Processes groups until {@link #close}. */
    @Override public void run() {
        while (runOnce(true)) {
            // each iteration processes one group
        }
    }

    /** Processes one group; returns false if it was the last. */
    private boolean runOnce(boolean mayWait) {
        WriteQueue.Group group = queue.take(mayWait, log.isUnsynced() ? IDLE_SYNC_MILLIS : 0);
        process(group);
        if (group.isLast()) {
            end();
        }
        return !group.isLast();
    }

    private void process(WriteQueue.Group group) {
        StoreFault failure = fault();
        if (failure == null) {
            try {
                for (PendingTask<?> task : group.tasks()) {
                    task.run(log);
                }
                if (!group.writes().isEmpty()) {
                    write(group);
                } else if (log.isUnsynced() && group.tasks().isEmpty()) {
                    log.sync();
                }
            } catch (IOException | RuntimeException e) {
                failure = fail(e);
            }
        }
        for (PendingWrite write : group.writes()) {
            write.complete(failure);
        }
        if (failure != null) {
            for (PendingTask<?> task : group.tasks()) {
                task.reject(failure);
            }
        } else if (!group.writes().isEmpty()) {
            writeMarkerIfIdle();
        }
    }

    private void write(WriteQueue.Group group) throws IOException {
        boolean mustSync = false;
        log.beginGroup();
        for (PendingWrite write : group.writes()) {
            mustSync |= write.durability() == Durability.SYNCED;
            if (!write.batch().isEmpty()) {
                log.append(write.batch());
            }
        }
        log.flush();
        if (mustSync) {
            log.sync();
        }
        log.publish();
    }

    private StoreFault fail(Exception cause) {
        StoreFault found = new StoreFault(StoreFault.Kind.IO_FAILURE, "the store has stopped writing: " + cause, cause);
        queue.fail(found).forEach(write -> write.complete(found));
        onFault.accept(found);
        return found;
    }

    /**
     * Appends a commit marker for the synced batches, unless another batch is queued, whose group will do so. The marker
     * itself needs no sync.
     */
    private void writeMarkerIfIdle() {
        if (queue.isIdle()) {
            try {
                log.writeMarkerIfDue();
            } catch (IOException e) {
                fail(e);
            }
        }
    }

    private void end() {
        if (fault() == null) {
            try {
                log.close();
            } catch (IOException e) {
                fail(e);
            }
        }
        log.stopThreads();
        queue.finishClose();
    }
}
