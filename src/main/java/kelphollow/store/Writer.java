package kelphollow.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

/**
 * Group commit: takes all batches that wait, has the {@link CommitLog} write them to both copies, syncs once and
 * acknowledges them. Its thread (the caller's with {@link StoreOptions#inline}) alone uses the log; compaction brings
 * it tasks. The first failure of the disk ends it: what was under way gets an error, so does all that comes later, and
 * nothing is written any more, since after a failed sync nobody knows what the disk holds.
 */
final class Writer implements Runnable {
    /** Something that waits to be written. */
    private record Write(Batch batch, Durability grade, Executor on, Ack ack) {}

    // So long after the last write what is not yet synced, a commit marker at least, is made safe.
    private static final long IDLE_SYNC = 1_000;

    private final Store store;
    private final StoreOptions options;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition work = lock.newCondition();
    private final ArrayDeque<Write> queue = new ArrayDeque<>();
    private final ArrayDeque<PendingTask> tasks = new ArrayDeque<>();
    /** Where the second copy is synced, on a thread of its own; null where all is done in the caller's thread. */
    private final ExecutorService second;
    private long queued;
    private boolean closing, closed;
    private StoreFault fault;
    private final CommitLog log;

    Writer(Store store, StoreOpener.State state, Tables tables, SegmentUsage space, StoreOptions options,
        LongSupplier clock) {
        this.store = store;
        this.options = options;
        this.second = options.inline() ? null : Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "store-second");
            thread.setDaemon(true);
            return thread;
        });
        this.log = new CommitLog(store, state, tables, space, options, clock, second);
    }

    // ---------------------------------------------------------------- any thread

    /** Never waits. The acknowledgement comes on the executor, also for what is turned away at once. */
    void submit(Batch batch, Durability grade, Executor on, Ack ack) {
        Write write = new Write(batch, grade, on, ack);
        StoreFault rejected;
        lock.lock();
        try {
            rejected = refusal(batch);
            if (rejected == null) {
                queue.add(write);
                queued += batch.bytes();
                work.signal();
            }
        } finally {
            lock.unlock();
        }
        if (rejected != null) {
            tell(write, rejected);
        } else if (options.inline()) {
            turn(false);
        }
    }

    private StoreFault refusal(Batch batch) {
        if (fault != null) {
            return fault;
        }
        if (closing) {
            return new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
        }
        if (batch.bytes() > options.largestBatch()) {
            return new StoreFault(StoreFault.Kind.TOO_LARGE, "a batch of " + batch.bytes() + " bytes; "
                + options.largestBatch() + " are allowed");
        }
        if (queued + batch.bytes() > options.queueBytes()) {
            return new StoreFault(StoreFault.Kind.BUSY, queued + " bytes wait to be written");
        }
        return null;
    }

    /** Has the task run between two groups, and waits for its end; throws what it threw. */
    void run(PendingTask.Task task) throws IOException, StoreFault {
        PendingTask pending = new PendingTask(task);
        lock.lock();
        try {
            if (fault != null || closing) {
                throw fault != null ? fault : new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
            }
            tasks.add(pending);
            work.signal();
        } finally {
            lock.unlock();
        }
        if (options.inline()) {
            turn(false);
        }
        pending.await();
    }

    /** The log, for tasks that {@link #run} runs; no other thread may use it. */
    CommitLog log() {
        return log;
    }

    /** Nothing is written any more. */
    void stop(StoreFault why) {
        lock.lock();
        try {
            fault = fault == null ? why : fault;
        } finally {
            lock.unlock();
        }
        store.failed(why);
    }

    /** The first failure, null while there is none. */
    StoreFault fault() {
        lock.lock();
        try {
            return fault;
        } finally {
            lock.unlock();
        }
    }

    /** Writes what waits, says in the segment that nothing is missing, and ends. */
    void close() {
        lock.lock();
        try {
            closing = true;
            work.signalAll();
            if (options.inline()) {
                lock.unlock();
                try {
                    turn(true);
                } finally {
                    lock.lock();
                }
            }
            while (!closed) {
                work.awaitUninterruptibly();
            }
        } finally {
            lock.unlock();
        }
    }

    // ---------------------------------------------------------------- the writer's thread

    /** Writes group after group until {@link #close}. */
    @Override public void run() {
        while (turn(true)) {
            // each turn is one group
        }
    }

    /** One group; false when there is no further one. */
    private boolean turn(boolean mayWait) {
        List<Write> group = new ArrayList<>();
        List<PendingTask> own = new ArrayList<>();
        boolean last;
        lock.lock();
        try {
            if (mayWait) {
                waitForWork();
            }
            own.addAll(tasks);
            tasks.clear();
            long bytes = 0;
            while (!queue.isEmpty() && (group.isEmpty() || bytes + queue.peek().batch.bytes() <= options.groupBytes())) {
                Write w = queue.poll();
                bytes += w.batch.bytes();
                group.add(w);
            }
            queued -= bytes;
            last = closing && queue.isEmpty() && tasks.isEmpty();
        } finally {
            lock.unlock();
        }
        work(group, own);
        if (last) {
            end();
        }
        return !last;
    }

    private void waitForWork() {
        while (queue.isEmpty() && tasks.isEmpty() && !closing) {
            try {
                boolean signalled = log.isUnsynced() ? work.await(IDLE_SYNC, TimeUnit.MILLISECONDS) : await();
                if (!signalled) {
                    return;
                }
            } catch (InterruptedException e) {
                closing = true;      // nobody interrupts this thread but to end it
            }
        }
    }

    private boolean await() throws InterruptedException {
        work.await();
        return true;
    }

    private void work(List<Write> group, List<PendingTask> own) {
        StoreFault failed = fault();
        if (failed == null) {
            try {
                for (PendingTask task : own) {
                    task.run();
                }
                if (!group.isEmpty()) {
                    write(group);
                } else if (log.isUnsynced() && own.isEmpty()) {
                    log.sync();
                }
            } catch (IOException | RuntimeException e) {
                failed = fail(e);
            }
        }
        for (Write w : group) {
            tell(w, failed);
        }
        if (failed != null) {
            for (PendingTask task : own) {
                task.refuse(failed);
            }
        }
        if (failed == null && !group.isEmpty()) {
            writeMarkerIfIdle();
        }
    }

    private StoreFault fail(Exception e) {
        StoreFault found = new StoreFault(StoreFault.Kind.DISK, "the store can write no more: " + e, e);
        List<Write> rest;
        lock.lock();
        try {
            fault = found;
            rest = new ArrayList<>(queue);
            queue.clear();
            queued = 0;
        } finally {
            lock.unlock();
        }
        rest.forEach(w -> tell(w, found));
        store.failed(found);
        return found;
    }

    private static void tell(Write write, StoreFault fault) {
        try {
            write.on.execute(() -> write.ack.done(fault));
        } catch (RejectedExecutionException e) {
            // who asked has ended
        }
    }

    private void write(List<Write> group) throws IOException {
        boolean synced = false;
        log.beginGroup();
        for (Write w : group) {
            synced |= w.grade == Durability.SYNCED;
            if (!w.batch.isEmpty()) {
                log.append(w.batch);
            }
        }
        log.flush();
        if (synced) {
            log.sync();
        }
        log.publish();
    }

    /** What has just been synced is said so at once if nothing follows that would say it; a commit marker needs no sync. */
    private void writeMarkerIfIdle() {
        lock.lock();
        try {
            if (!queue.isEmpty() || closing) {
                return;
            }
        } finally {
            lock.unlock();
        }
        try {
            log.writeMarkerIfDue();
        } catch (IOException e) {
            fail(e);
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
        if (second != null) {
            second.shutdown();
        }
        lock.lock();
        try {
            closed = true;
            work.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
