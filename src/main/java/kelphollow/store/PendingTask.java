package kelphollow.store;

import java.io.IOException;

/**
 * A task that the writer's thread runs between two groups while the caller waits for the result. Every task completes, so
 * that no caller waits forever: with a result, with an exception, or rejected because the store failed. Thread-safe.
 *
 * @param <T> type of the result
 */
final class PendingTask<T> {
    /** Reads or changes the log on the writer's thread. */
    interface LogTask<T> {
        T run(CommitLog log) throws IOException;
    }

    private final LogTask<T> task;
    private boolean completed;
    private T result;
    private IOException thrown;
    private StoreFault rejection;

    PendingTask(LogTask<T> task) {
        this.task = task;
    }

    /** Runs the task on the writer's thread; rethrows an {@link IOException} of the task, which stops the writer too. */
    void run(CommitLog log) throws IOException {
        try {
            result = task.run(log);
        } catch (IOException e) {
            thrown = e;
            throw e;
        } finally {
            complete();
        }
    }

    /** Completes the task with this fault, unless it has run already. */
    synchronized void reject(StoreFault fault) {
        if (!completed) {
            rejection = fault;
            complete();
        }
    }

    private synchronized void complete() {
        completed = true;
        notifyAll();
    }

    /**
     * Waits for the task without responding to interrupts. Returns its result, or throws its exception or the fault that it
     * was rejected with.
     */
    synchronized T await() throws IOException, StoreFault {
        boolean interrupted = false;
        while (!completed) {
            try {
                wait();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
        if (thrown != null) {
            throw thrown;
        }
        if (rejection != null) {
            throw rejection;
        }
        return result;
    }
}
