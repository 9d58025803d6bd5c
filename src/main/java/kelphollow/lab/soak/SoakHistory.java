package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** What all parties of a run did, on one monotonic clock in milliseconds since the run began. Safe from any thread. */
final class SoakHistory {
    /** Something that a party did. */
    sealed interface Event {}

    /** Discovery has a new version, in which this node may get new requests or not. */
    record ListChanged(double at, long version, String node, boolean usable) implements Event {}

    /** Discovery has written a response to this instance that is complete up to this version. */
    record ListWritten(double at, int instance, long version) implements Event {}

    /** Discovery could not be reached in this time. */
    record Outage(double from, double to) implements Event {}

    /** The open watch of this instance fell silent; its next call is answered. */
    record WatchSilent(double at, int instance) implements Event {}

    /** The instance was signalled to reload its file, in which discovery has another address. */
    record DiscoveryMoved(double at, int instance) implements Event {}

    /** A process of an instance began; {@code ended} is infinite while it runs. */
    record Incarnation(int instance, double from, double termAt, double ended, boolean killed,
                       int exitCode) implements Event {}

    /** The first byte of a command has reached a node, which has so long for it and may run it. */
    record AttemptArrived(double at, String node, String id, double timeLeft, boolean mayRun) implements Event {}

    /** A client has written a complete request; it waits for so long. */
    record RequestSent(double at, String id, int instance, boolean mustRunOnce, double patience) implements Event {}

    /** How a request ended for its client. */
    enum Outcome {
        SERVED, REJECTED, FAILED, CLIENT_LEFT, CONNECTION_ENDED, NO_ANSWER
    }

    /** The client has its answer, or has ended the connection, or saw it end. */
    record RequestEnded(double at, String id, Outcome outcome) implements Event {}

    /** A line of a process's log that tells of a fault of the program itself. */
    record FaultLogged(String line) implements Event {}

    private final long began = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private volatile boolean pushed;

    /** In milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - began) / 1e6;
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

    /** The history up to now; what comes later is not in it. */
    synchronized SoakHistory snapshot() {
        SoakHistory copy = new SoakHistory();
        copy.events.addAll(events);
        copy.pushed = pushed;
        return copy;
    }

    /** All events of a type, in the order in which they were added. */
    synchronized <T extends Event> List<T> all(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
