package kelphollow.scale;

import java.io.IOException;
import java.util.function.Supplier;
import kelphollow.fleet.Fleet;
import kelphollow.routing.Ticker;

/**
 * Runs simulated instances: a clock, event loops and a network. {@link SimulatedHost} has one clock that jumps from event to
 * event; {@link SocketHost} has real sockets and threads. Confined to the thread of the run.
 */
interface FleetHost extends AutoCloseable {
    /** The clock and timers of an instance, all through its executor. */
    Ticker ticker(int instance, SuspendableExecutor process);

    /** What carries an instance's packets, all that arrives through its executor. */
    Fleet.TransportFactory transports(int instance, SuspendableExecutor process, byte[] key, int maxMembers);

    /** Opens the transport; not on a loop. */
    void open(int instance, Fleet fleet) throws IOException;

    /** Runs a task on the loop of the instance, waits for it and returns its result. */
    <T> T call(int instance, Supplier<T> task);

    /** Runs a task on the loop of the instance and waits for it. */
    default void run(int instance, Runnable task) {
        call(instance, () -> {
            task.run();
            return null;
        });
    }

    /** Milliseconds on the host's clock. */
    double now();

    /** Lets this many milliseconds pass. */
    void advance(double millis) throws InterruptedException;

    /** How late loops were at the 99th percentile since the last call, in milliseconds; 0 on a simulated clock. */
    double p99Lateness();

    @Override void close();
}
