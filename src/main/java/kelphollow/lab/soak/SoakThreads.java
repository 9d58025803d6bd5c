package kelphollow.lab.soak;

import java.io.IOException;

/** Threads of the fake parties: each ends with the connection or listener that it serves. */
final class SoakThreads {
    /** What such a thread does. */
    interface Task {
        void run() throws Exception;
    }

    private static final int STACK_BYTES = 256 * 1024;

    private SoakThreads() {}

    /** Starts a daemon thread; an end of its connection ends it quietly, any other fault is shown. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // its connection or listener has ended
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
