package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** The events of all parties of a run, timed by one monotonic clock in milliseconds since the run began. Thread-safe. */
final class SoakHistory {
    /** An event of one party. */
    sealed interface Event {}

    /** Discovery has a new version, in which this node may get new requests if {@code usable}. */
    record ListChanged(double at, long version, String node, boolean usable) implements Event {}

    /** Discovery has written a response to this instance that is complete up to this version. */
    record ListWritten(double at, int instance, long version) implements Event {}

    /** Discovery was unreachable between these times. */
    record Outage(double from, double to) implements Event {}

    /** The open watch of this instance gets no more responses; its next call is answered. */
    record WatchSilent(double at, int instance) implements Event {}

    /** The instance was signalled to reload its file, in which discovery has another address. */
    record DiscoveryMoved(double at, int instance) implements Event {}

    /** A process of an instance began; {@code ended} is infinite while it runs. */
    record Incarnation(int instance, double from, double termAt, double ended, boolean killed,
                       int exitCode) implements Event {}

    /** The first byte of a command reached a node; {@code timeLeft} is the deadline sent, {@code mayRun} if not rejected. */
    record AttemptArrived(double at, String node, String id, double timeLeft, boolean mayRun) implements Event {}

    /** A node's connection ended before a long value was complete; {@code byNode}: the node itself ended it. */
    record ValueCut(double at, String node, String id, boolean byNode) implements Event {}

    /**
     * A client has written a complete request; {@code patience} is its timeout in milliseconds, {@code limitedVolume} its
     * volume if that has a limit, else null.
     */
    record RequestSent(double at, String id, int instance, boolean mustRunOnce, double patience, String limitedVolume,
                       double units) implements Event {
        /** A request of a volume without a limit. */
        RequestSent(double at, String id, int instance, boolean mustRunOnce, double patience) {
            this(at, id, instance, mustRunOnce, patience, null, 0);
        }
    }

    /**
     * A process of an instance was replaced: the next one was started, reported that it was ready, and then the other got
     * SIGTERM; {@code readyAt} is infinite if the run ended before that.
     */
    record Upgrade(int instance, double startedAt, double readyAt) implements Event {}

    /** How a request ended for its client. */
    enum Outcome {
        SERVED, REJECTED, FAILED, TRUNCATED, CLIENT_LEFT, CONNECTION_ENDED, NO_ANSWER
    }

    /** The client got its answer, closed the connection, or saw it end. */
    record RequestEnded(double at, String id, Outcome outcome) implements Event {}

    /** A line of a process's log that reports a fault of the program itself. */
    record FaultLogged(String line) implements Event {}

    private final long startNanos = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private volatile boolean pushed;

    /** Returns the time since the run began, in milliseconds. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Whether lists are pushed to an agent of each instance, rather than polled. */
    boolean isPushed() {
        return pushed;
    }

    void setPushed(boolean isPushed) {
        pushed = isPushed;
    }

    synchronized void add(Event event) {
        events.add(event);
    }

    /** Returns a copy of the history that later events do not change. */
    synchronized SoakHistory snapshot() {
        SoakHistory copy = new SoakHistory();
        copy.events.addAll(events);
        copy.pushed = pushed;
        return copy;
    }

    /** Returns all events of a type in the order in which they were added. */
    synchronized <T extends Event> List<T> all(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
