package kelphollow.store;

import java.io.IOException;

/**
 * A task that the writer's thread runs between two groups, and the thread that waits for its end. Guards against a
 * caller that waits for ever: the task ends by what it returned or threw, or is refused because the store failed.
 */
final class PendingTask {
    /** A change that compaction has prepared. */
    interface Task {
        void run() throws IOException;
    }

    private final Task task;
    private boolean over;
    private IOException thrown;
    private StoreFault rejected;

    PendingTask(Task task) {
        this.task = task;
    }

    /** On the writer's thread; throws on what the task threw, which ends the writer too. */
    void run() throws IOException {
        try {
            task.run();
        } catch (IOException e) {
            thrown = e;
            throw e;
        } finally {
            end();
        }
    }

    /** Ends the wait with this error, unless the task has run. */
    synchronized void refuse(StoreFault why) {
        if (!over) {
            rejected = why;
            end();
        }
    }

    private synchronized void end() {
        over = true;
        notifyAll();
    }

    /** Waits for the end, through interrupts, and throws what the task threw or why it was refused. */
    synchronized void await() throws IOException, StoreFault {
        boolean interrupted = false;
        while (!over) {
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
        if (rejected != null) {
            throw rejected;
        }
    }
}
