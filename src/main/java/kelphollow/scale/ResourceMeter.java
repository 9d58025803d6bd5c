package kelphollow.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Processor time and live memory of this process; what the tool itself needs is in both. Confined to the run's thread. */
final class ResourceMeter {
    private static final OperatingSystemMXBean SYSTEM = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private static final double NANOS_PER_SECOND = 1e9;

    private long heapBefore;
    private long heapAfter;
    private long cpuBefore;
    private long cpuNanos;

    /** Memory is counted from here. */
    void beforeStart() {
        heapBefore = liveHeapBytes();
    }

    /** Processor time is counted from here. */
    void begin() {
        cpuBefore = SYSTEM.getProcessCpuTime();
    }

    /** Processor time is counted until here; memory is read after a collection. */
    void end() {
        cpuNanos = SYSTEM.getProcessCpuTime() - cpuBefore;
        heapAfter = liveHeapBytes();
    }

    private static long liveHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Processor seconds of this process. */
    double processorSeconds() {
        return cpuNanos / NANOS_PER_SECOND;
    }

    /** Bytes that stayed live and were not there before the start. */
    long liveBytes() {
        return Math.max(0, heapAfter - heapBefore);
    }

    /** All memory of the machine, in bytes. */
    static long machineMemory() {
        return SYSTEM.getTotalMemorySize();
    }

    /** The load of the machine over the last minute, or below 0 where it is not known. */
    static double loadAverage() {
        return SYSTEM.getSystemLoadAverage();
    }
}
