package kelphollow.store;

import java.io.IOException;

/**
 * A task that the writer's thread runs between two groups, and the thread that waits for its end. Guards against a caller
 * that waits for ever: the task ends with what it returned or threw, or is rejected because the store failed. Thread-safe.
 *
 * @param <T> what the task returns
 */
final class PendingTask<T> {
    /** Reads or changes the log on the writer's thread. */
    interface LogTask<T> {
        T run(CommitLog log) throws IOException;
    }

    private final LogTask<T> task;
    private boolean ended;
    private T result;
    private IOException thrown;
    private StoreFault rejection;

    PendingTask(LogTask<T> task) {
        this.task = task;
    }

    /** On the writer's thread; rethrows what the task threw, which ends the writer too. */
    void run(CommitLog log) throws IOException {
        try {
            result = task.run(log);
        } catch (IOException e) {
            thrown = e;
            throw e;
        } finally {
            end();
        }
    }

    /** Ends the wait with this fault, unless the task has run. */
    synchronized void reject(StoreFault why) {
        if (!ended) {
            rejection = why;
            end();
        }
    }

    private synchronized void end() {
        ended = true;
        notifyAll();
    }

    /** Waits for the end, through interrupts; returns the result, or throws what the task threw or why it was rejected. */
    synchronized T await() throws IOException, StoreFault {
        boolean interrupted = false;
        while (!ended) {
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
