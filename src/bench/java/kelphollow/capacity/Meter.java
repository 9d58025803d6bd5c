package kelphollow.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Processor time, allocation and live memory of what runs on the calling thread. Guards against wall time, which on a
 * machine
 * that is shared tells of the neighbours.
 */
public final class Meter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int COLLECTIONS = 3;

    private Meter() {}

    /** Processor time in nanoseconds and allocated bytes of one run. */
    public record Cost(double nanos, double bytes) {}

    /** The median run of an odd number, by processor time; the first {@code warmUps} runs are thrown away. */
    public static Cost median(int warmUps, int runs, Runnable task) {
        for (int i = 0; i < warmUps; i++) {
            task.run();
        }
        Cost[] costs = new Cost[runs];
        for (int i = 0; i < runs; i++) {
            costs[i] = cost(task);
        }
        Arrays.sort(costs, (a, b) -> Double.compare(a.nanos, b.nanos));
        return costs[runs / 2];
    }

    private static Cost cost(Runnable task) {
        long thread = Thread.currentThread().getId();
        long bytes = THREADS.getThreadAllocatedBytes(thread);
        long nanos = THREADS.getCurrentThreadCpuTime();
        task.run();
        return new Cost(THREADS.getCurrentThreadCpuTime() - nanos, THREADS.getThreadAllocatedBytes(thread) - bytes);
    }

    /** Live bytes that only what is supplied keeps reachable: with it, less without it. */
    public static double retained(Supplier<?> made) {
        Object[] holder = {made.get()};
        long with = live();
        java.lang.ref.Reference.reachabilityFence(holder[0]);
        holder[0] = null;
        return with - live();
    }

    private static long live() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
