package kelphollow.scale;

import java.util.ArrayDeque;

/**
 * Runs all tasks of one run of an instance and models the signals that a process can get: while it is suspended, as
 * by SIGSTOP, tasks wait; once it is killed, they are dropped. Confined to the instance's event loop.
 */
final class SuspendableExecutor {
    /** How many tasks wait while suspended; further ones are lost, as when a socket's buffer is full. */
    private static final int MAX_WAITING = 1_000;

    private enum State { RUNNING, SUSPENDED, KILLED }

    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private State state = State.RUNNING;

    /** Runs the task at once, or on resume if suspended; drops it if killed or if too many wait. */
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

    /** Runs the waiting tasks until one of them suspends or kills the process again. */
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
