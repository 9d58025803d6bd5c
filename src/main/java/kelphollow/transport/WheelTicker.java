package kelphollow.transport;

import io.netty.channel.EventLoop;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import kelphollow.routing.Ticker;

/**
 * A ticker on Netty's hashed timer wheel with coarse ticks. The wheel has its own thread; tasks run on the event loop, so
 * that nothing else needs a lock. The clock may be read on any thread.
 */
public final class WheelTicker implements Ticker, AutoCloseable {
    private static final int SLOTS = 512;
    /** Offset added to the wall clock, for tests that nothing between instances depends on synchronized clocks. */
    private static final long CLOCK_OFFSET_MS = Long.getLong("kelphollow.clock.off.ms", 0);

    private final HashedWheelTimer wheel;
    private final double wallAtStart = System.currentTimeMillis() + CLOCK_OFFSET_MS;
    private final long nanosAtStart = System.nanoTime();

    /** Starts the wheel; {@code tickMillis} is the granularity of its timers. */
    public WheelTicker(EventLoop loop, long tickMillis) {
        wheel = new HashedWheelTimer(new DefaultThreadFactory("wheel", true), tickMillis, TimeUnit.MILLISECONDS,
            SLOTS, false, 0, loop);
    }

    /** The wall clock at the start plus the monotonic time since: a later step of the wall clock has no effect. */
    @Override public double now() {
        return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e6;
    }

    @Override public Timeout after(double millis, Runnable task) {
        io.netty.util.Timeout timeout = wheel.newTimeout(expired -> task.run(),
            (long) (Math.max(0, millis) * 1e6), TimeUnit.NANOSECONDS);
        return timeout::cancel;
    }

    @Override public void close() {
        wheel.stop();
    }
}
