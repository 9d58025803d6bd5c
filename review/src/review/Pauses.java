package review;

/** Measures how long this process, or the machine, stood still, so that its own lateness is not taken for the program's. */
final class Pauses {
    private static final int STEP_MS = 20;
    private static final double TOLERATED_MS = 30;

    private volatile double total;
    private double longest;

    Pauses() {
        Threads.start("pauses", () -> {
            for (long last = System.nanoTime();;) {
                Thread.sleep(STEP_MS);
                long now = System.nanoTime();
                double late = (now - last) / 1e6 - STEP_MS;
                if (late > TOLERATED_MS) {
                    total = total + late;
                    longest = Math.max(longest, late);
                }
                last = now;
            }
        });
    }

    /** Milliseconds for which this process has stood still so far. */
    double total() {
        return total;
    }

    double longest() {
        return longest;
    }
}
