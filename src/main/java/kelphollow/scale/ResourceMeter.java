package kelphollow.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Measures processor time and live heap of this process, the tool's own share included. Confined to the run's thread. */
final class ResourceMeter {
    private static final OperatingSystemMXBean SYSTEM = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private static final double NANOS_PER_SECOND = 1e9;

    private long heapBefore;
    private long heapAfter;
    private long cpuBefore;
    private long cpuNanos;

    /** Takes the live heap before any instance starts. */
    void beforeStart() {
        heapBefore = liveHeapBytes();
    }

    /** Starts to count processor time. */
    void begin() {
        cpuBefore = SYSTEM.getProcessCpuTime();
    }

    /** Stops counting processor time and takes the live heap after a garbage collection. */
    void end() {
        cpuNanos = SYSTEM.getProcessCpuTime() - cpuBefore;
        heapAfter = liveHeapBytes();
    }

    private static long liveHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Returns the processor seconds between {@link #begin} and {@link #end}. */
    double processorSeconds() {
        return cpuNanos / NANOS_PER_SECOND;
    }

    /** Returns by how many bytes the live heap grew since {@link #beforeStart}; 0 if it shrank. */
    long liveBytes() {
        return Math.max(0, heapAfter - heapBefore);
    }

    /** Returns the machine's total memory in bytes. */
    static long machineMemory() {
        return SYSTEM.getTotalMemorySize();
    }

    /** Returns the machine's load average over the last minute, or a negative value where it is not available. */
    static double loadAverage() {
        return SYSTEM.getSystemLoadAverage();
    }
}
