package kelphollow.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures processor time, allocation and live memory of a task on the calling thread. Wall time is not used, because on a
 * shared machine it depends on the load of other processes.
 */
public final class Meter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int GC_RUNS = 3;

    private Meter() {}

    /** Processor time in nanoseconds and allocated bytes of one run. */
    public record Cost(double nanos, double bytes) {}

    /** Returns the run with the median processor time; {@code runs} is odd. Discards {@code warmUps} earlier runs. */
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

    /** Returns the live bytes that only the supplied object keeps reachable: heap use with it minus heap use without it. */
    public static double retained(Supplier<?> factory) {
        Object[] holder = {factory.get()};
        long with = liveBytes();
        java.lang.ref.Reference.reachabilityFence(holder[0]);
        holder[0] = null;
        return with - liveBytes();
    }

    private static long liveBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
