package kelphollow.store;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * Group commit: takes all batches that wait, has the {@link CommitLog} write them to both copies, syncs once and
 * acknowledges them. Its thread (the caller's with {@link StoreOptions#inline}) alone uses the log; other threads hand it
 * tasks. The first failure of the disk ends it: what was under way and all that comes later gets the fault, and nothing is
 * written any more, since after a failed sync the contents of the disk are not known.
 */
final class Writer implements Runnable {
    /** How long after the last write what is not yet synced, a commit marker at least, is synced; milliseconds. */
    private static final long IDLE_SYNC_MILLIS = 1_000;

    private final CommitLog log;
    private final StoreOptions options;
    private final WriteQueue queue;
    private final Consumer<StoreFault> onFault;

    /** Calls {@code onFault} with each fault that ends writing, on the thread that found it. */
    Writer(CommitLog log, StoreOptions options, Consumer<StoreFault> onFault) {
        this.log = log;
        this.options = options;
        this.queue = new WriteQueue(options);
        this.onFault = onFault;
    }

    // ---------------------------------------------------------------- any thread

    /** Never blocks. The callback is called on its executor, also for what is rejected at once. */
    void submit(PendingWrite write) {
        StoreFault rejection = queue.offer(write);
        if (rejection != null) {
            write.complete(rejection);
        } else if (options.inline()) {
            runOnce(false);
        }
    }

    /** Has the task run between two groups and waits for its end; throws what it threw. */
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

    /** Ends all writing because of a fault that was found elsewhere. */
    void stop(StoreFault why) {
        queue.stop(why);
        onFault.accept(why);
    }

    /** The first fault, null while there is none. */
    StoreFault fault() {
        return queue.fault();
    }

    /** Writes what waits, records in the segment that nothing is missing, and ends. */
    void close() {
        queue.beginClose();
        if (options.inline()) {
            runOnce(true);
        }
        queue.awaitClosed();
    }

    // ---------------------------------------------------------------- the writer's thread

    /** Writes group after group until {@link #close}. */
    @Override public void run() {
        while (runOnce(true)) {
            // each round is one group
        }
    }

    /** One group; false when there is no further one. */
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
        StoreFault found = new StoreFault(StoreFault.Kind.IO_FAILURE, "the store can write no more: " + cause, cause);
        queue.fail(found).forEach(write -> write.complete(found));
        onFault.accept(found);
        return found;
    }

    /** Records at once what has just been synced, unless a batch follows that would; a commit marker needs no sync. */
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
