package kelphollow.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The queue of the writer's thread: batches, bounded in bytes, and tasks. Also holds the writer's state: open, closing or
 * closed, and its fault. Thread-safe by one lock; only {@link #take} and {@link #awaitClosed} block.
 */
final class WriteQueue {
    /** The writes and tasks to process next; {@code isLast} if no group can follow. */
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

    /** Queues a write; returns null, or the fault if it is rejected. */
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
            return new StoreFault(StoreFault.Kind.BATCH_TOO_LARGE, "batch of " + batch.bytes()
                + " bytes exceeds the maximum of " + options.maxBatchBytes() + " bytes");
        }
        if (queuedBytes + batch.bytes() > options.queueBytes()) {
            return new StoreFault(StoreFault.Kind.QUEUE_FULL, "write queue is full: " + queuedBytes + " of "
                + options.queueBytes() + " bytes queued, batch of " + batch.bytes() + " bytes rejected");
        }
        return null;
    }

    /** Queues a task; throws if the store is closed or has failed. */
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
     * Takes all tasks and a group of writes of at most {@link StoreOptions#groupBytes}, or one larger write; both may be
     * empty.
     *
     * @param mayWait whether to block until there is work or the queue is being closed
     * @param idleMillis maximum wait, after which an empty group is returned; 0 waits without limit
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
                state = State.CLOSING;      // the writer's thread is interrupted only to end it
            }
        }
    }

    /** Whether the queue is open and holds no writes. */
    boolean isIdle() {
        lock.lock();
        try {
            return writes.isEmpty() && state == State.OPEN;
        } finally {
            lock.unlock();
        }
    }

    /** The fault with which everything is rejected, or null. */
    StoreFault fault() {
        lock.lock();
        try {
            return fault;
        } finally {
            lock.unlock();
        }
    }

    /** Rejects all later offers, with this fault unless there was an earlier one. Queued writes and tasks stay queued. */
    void stop(StoreFault newFault) {
        lock.lock();
        try {
            fault = fault == null ? newFault : fault;
        } finally {
            lock.unlock();
        }
    }

    /** Rejects all later offers with this fault; removes and returns the queued writes. */
    List<PendingWrite> fail(StoreFault newFault) {
        lock.lock();
        try {
            fault = newFault;
            List<PendingWrite> queued = new ArrayList<>(writes);
            writes.clear();
            queuedBytes = 0;
            return queued;
        } finally {
            lock.unlock();
        }
    }

    /** Rejects all later offers; what is queued can still be taken. */
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

    /** Marks the queue as closed once the writer has ended. */
    void finishClose() {
        lock.lock();
        try {
            state = State.CLOSED;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Waits until the writer has ended, without responding to interrupts. */
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
