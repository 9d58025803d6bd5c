package kelphollow.lab.soak;

import java.io.IOException;

/** Starts threads of the fake parties; each ends with the connection or listener that it serves. */
final class SoakThreads {
    /** The body of such a thread. */
    interface Task {
        void run() throws Exception;
    }

    private static final int STACK_BYTES = 256 * 1024;

    private SoakThreads() {}

    /** Starts a daemon thread; an I/O error or interrupt ends it silently, any other exception is rethrown. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // the connection or listener was closed
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
