package kelphollow.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What waits for the writer's thread: batches, bounded in bytes, and tasks; and whether the writer still takes any.
 * Thread-safe by one lock; only {@link #take} and {@link #awaitClosed} block.
 */
final class WriteQueue {
    /** What the writer does next; {@code isLast} when nothing can follow. */
    record Group(List<PendingWrite> writes, List<PendingTask<?>> tasks, boolean isLast) {}

    private enum State { OPEN, CLOSING, CLOSED }

    private final StoreOptions options;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ArrayDeque<PendingWrite> writes = new ArrayDeque<>();
    private final ArrayDeque<PendingTask<?>> tasks = new ArrayDeque<>();
    private long queuedBytes;
    private State state = State.OPEN;
    private StoreFault fault;

    WriteQueue(StoreOptions options) {
        this.options = options;
    }

    /** Queues a write, or returns why it is rejected. */
    StoreFault offer(PendingWrite write) {
        lock.lock();
        try {
            StoreFault rejection = rejection(write.batch());
            if (rejection == null) {
                writes.add(write);
                queuedBytes += write.batch().bytes();
                changed.signal();
            }
            return rejection;
        } finally {
            lock.unlock();
        }
    }

    private StoreFault rejection(Batch batch) {
        if (fault != null) {
            return fault;
        }
        if (state != State.OPEN) {
            return new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
        }
        if (batch.bytes() > options.maxBatchBytes()) {
            return new StoreFault(StoreFault.Kind.BATCH_TOO_LARGE, "a batch of " + batch.bytes() + " bytes; "
                + options.maxBatchBytes() + " are allowed");
        }
        if (queuedBytes + batch.bytes() > options.queueBytes()) {
            return new StoreFault(StoreFault.Kind.QUEUE_FULL, queuedBytes + " bytes wait to be written");
        }
        return null;
    }

    /** Queues a task; throws if the writer takes none any more. */
    void offer(PendingTask<?> task) throws StoreFault {
        lock.lock();
        try {
            if (fault != null) {
                throw fault;
            }
            if (state != State.OPEN) {
                throw new StoreFault(StoreFault.Kind.CLOSED, "the store is closed");
            }
            tasks.add(task);
            changed.signal();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes all tasks and a group of writes within {@link StoreOptions#groupBytes}; both may be empty.
     *
     * @param mayWait blocks until there is something to do, or the queue is being closed
     * @param idleMillis returns with nothing after this long; 0 for never
     */
    Group take(boolean mayWait, long idleMillis) {
        lock.lock();
        try {
            if (mayWait) {
                waitForWork(idleMillis);
            }
            List<PendingTask<?>> takenTasks = new ArrayList<>(tasks);
            tasks.clear();
            List<PendingWrite> group = new ArrayList<>();
            long bytes = 0;
            while (!writes.isEmpty()
                && (group.isEmpty() || bytes + writes.peek().batch().bytes() <= options.groupBytes())) {
                PendingWrite write = writes.poll();
                bytes += write.batch().bytes();
                group.add(write);
            }
            queuedBytes -= bytes;
            return new Group(group, takenTasks, state != State.OPEN && writes.isEmpty() && tasks.isEmpty());
        } finally {
            lock.unlock();
        }
    }

    private void waitForWork(long idleMillis) {
        while (writes.isEmpty() && tasks.isEmpty() && state == State.OPEN) {
            try {
                if (idleMillis == 0) {
                    changed.await();
                } else if (!changed.await(idleMillis, TimeUnit.MILLISECONDS)) {
                    return;
                }
            } catch (InterruptedException e) {
                state = State.CLOSING;      // nobody interrupts this thread but to end it
            }
        }
    }

    /** Whether no write waits and the queue is open. */
    boolean isIdle() {
        lock.lock();
        try {
            return writes.isEmpty() && state == State.OPEN;
        } finally {
            lock.unlock();
        }
    }

    /** The fault for which everything is rejected, null while there is none. */
    StoreFault fault() {
        lock.lock();
        try {
            return fault;
        } finally {
            lock.unlock();
        }
    }

    /** Rejects all that comes from now on, with this fault unless there was one before. What is queued stays. */
    void stop(StoreFault why) {
        lock.lock();
        try {
            fault = fault == null ? why : fault;
        } finally {
            lock.unlock();
        }
    }

    /** Rejects all that comes from now on with this fault; returns the writes that were queued. */
    List<PendingWrite> fail(StoreFault why) {
        lock.lock();
        try {
            fault = why;
            List<PendingWrite> queued = new ArrayList<>(writes);
            writes.clear();
            queuedBytes = 0;
            return queued;
        } finally {
            lock.unlock();
        }
    }

    /** Takes nothing more; what is queued is still taken out. */
    void beginClose() {
        lock.lock();
        try {
            if (state == State.OPEN) {
                state = State.CLOSING;
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** The writer has ended. */
    void finishClose() {
        lock.lock();
        try {
            state = State.CLOSED;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Waits until the writer has ended, through interrupts. */
    void awaitClosed() {
        lock.lock();
        try {
            while (state != State.CLOSED) {
                changed.awaitUninterruptibly();
            }
        } finally {
            lock.unlock();
        }
    }
}
