package kelphollow.scale;

import java.util.ArrayDeque;

/**
 * Runs all tasks of one incarnation of an instance, and models the signals that a process can get: while it is suspended, as
 * by SIGSTOP, tasks wait; once it is killed, they are dropped. Confined to the instance's loop.
 */
final class SuspendableExecutor {
    /** How many tasks wait while suspended, as in a socket's buffer; what comes on top is lost, as there. */
    private static final int MAX_WAITING = 1_000;

    private enum State { RUNNING, SUSPENDED, KILLED }

    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private State state = State.RUNNING;

    /** Runs a task now, when the process is resumed, or never. */
    void execute(Runnable task) {
        if (state == State.RUNNING) {
            task.run();
        } else if (state == State.SUSPENDED && waiting.size() < MAX_WAITING) {
            waiting.add(task);
        }
    }

    boolean isRunning() {
        return state == State.RUNNING;
    }

    boolean isKilled() {
        return state == State.KILLED;
    }

    void suspend() {
        if (state == State.RUNNING) {
            state = State.SUSPENDED;
        }
    }

    /** Runs what waits, until a task suspends or kills the process again. */
    void resume() {
        if (state == State.SUSPENDED) {
            state = State.RUNNING;
        }
        while (!waiting.isEmpty() && state == State.RUNNING) {
            waiting.poll().run();
        }
    }

    void kill() {
        state = State.KILLED;
        waiting.clear();
    }
}
