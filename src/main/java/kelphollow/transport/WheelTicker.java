package kelphollow.transport;

import io.netty.channel.EventLoop;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import kelphollow.routing.Ticker;

/** Netty's wheel with coarse ticks; its tasks run on the event loop, so that nothing else needs a lock. */
public final class WheelTicker implements Ticker, AutoCloseable {
    private static final int SLOTS = 512;
    private final HashedWheelTimer wheel;
    /** A wall clock that is off by so much, for tests: nothing between instances may depend on it. */
    private static final long OFF = Long.getLong("kelphollow.clock.off.ms", 0);
    private final double wallAtStart = System.currentTimeMillis() + OFF;
    private final long nanosAtStart = System.nanoTime();

    public WheelTicker(EventLoop loop, long tickMillis) {
        wheel = new HashedWheelTimer(new DefaultThreadFactory("wheel", true), tickMillis, TimeUnit.MILLISECONDS,
            SLOTS, false, 0, loop);
    }

    /** The wall clock as it stood at the start, carried on by the monotonic one: a step of the former does no harm. */
    @Override public double now() {
        return wallAtStart + (System.nanoTime() - nanosAtStart) / 1e6;
    }

    @Override public Timeout after(double millis, Runnable task) {
        io.netty.util.Timeout timeout = wheel.newTimeout(t -> task.run(),
            (long) (Math.max(0, millis) * 1e6), TimeUnit.NANOSECONDS);
        return timeout::cancel;
    }

    @Override public void close() {
        wheel.stop();
    }
}
