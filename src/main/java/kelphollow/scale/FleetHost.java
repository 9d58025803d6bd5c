package kelphollow.scale;

import java.io.IOException;
import java.util.function.Supplier;
import kelphollow.fleet.Fleet;
import kelphollow.routing.Ticker;

/**
 * Clock, event loops and network for simulated instances. {@link SimulatedHost} runs discrete events on one simulated clock;
 * {@link SocketHost} uses real sockets and threads. Confined to the thread of the run.
 */
interface FleetHost extends AutoCloseable {
    /** Returns the clock and timers of an instance; its timer tasks run on {@code process}. */
    Ticker ticker(int instance, SuspendableExecutor process);

    /** Returns the factory of an instance's transport; received packets are handled on {@code process}. */
    Fleet.TransportFactory transports(int instance, SuspendableExecutor process, byte[] key, int maxMembers);

    /** Opens the transport; must not be called on an event loop. */
    void open(int instance, Fleet fleet) throws IOException;

    /** Runs a task on the event loop of the instance, waits for it and returns its result. */
    <T> T call(int instance, Supplier<T> task);

    /** Runs a task on the event loop of the instance and waits for it. */
    default void run(int instance, Runnable task) {
        call(instance, () -> {
            task.run();
            return null;
        });
    }

    /** Current time of the host's clock in milliseconds. */
    double now();

    /** Advances the host's clock by this many milliseconds; on real time it waits. */
    void advance(double millis) throws InterruptedException;

    /** 99th percentile of event loop lateness since the last call, in milliseconds; 0 on a simulated clock. */
    double p99Lateness();

    @Override void close();
}
