package review;

/** Daemon threads that end quietly when their socket ends. */
final class Threads {
    /** A task that may fail with any exception. */
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    /** Starts a daemon thread; an exception ends it. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // The socket or the run has ended.
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
