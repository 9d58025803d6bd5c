package kelphollow.program;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import kelphollow.routing.Ticker;

/** A clock that only the test advances; its tasks run on the event loop, as those of the timer wheel do. */
final class ManualTicker implements Ticker {
    private record ScheduledTask(double at, Runnable task) {}

    private final EventLoop loop;
    private final List<ScheduledTask> scheduled = new ArrayList<>();
    private double now = 1_700_000_000_000.0;

    ManualTicker(EventLoop loop) {
        this.loop = loop;
    }

    @Override public synchronized double now() {
        return now;
    }

    @Override public synchronized Timeout after(double millis, Runnable task) {
        ScheduledTask due = new ScheduledTask(now + Math.max(0, millis), task);
        scheduled.add(due);
        return () -> {
            synchronized (this) {
                scheduled.remove(due);
            }
        };
    }

    /** Advances the clock in steps of 1 ms and returns when all tasks that became due have run. */
    void advance(int millis) {
        if (loop.inEventLoop()) {
            advanceOnLoop(millis);
        } else {
            loop.submit(() -> advanceOnLoop(millis)).syncUninterruptibly();
        }
    }

    private void advanceOnLoop(int millis) {
        for (int i = 0; i < millis; i++) {
            synchronized (this) {
                now++;
            }
            for (ScheduledTask due; (due = nextDueTask()) != null;) {
                due.task.run();
            }
        }
    }

    private synchronized ScheduledTask nextDueTask() {
        ScheduledTask first = scheduled.stream().filter(d -> d.at <= now).min(Comparator.comparingDouble(ScheduledTask::at))
            .orElse(null);
        scheduled.remove(first);
        return first;
    }
}
