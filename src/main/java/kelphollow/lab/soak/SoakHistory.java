package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** What all parties of a run did, on one monotonic clock in milliseconds since the run began. Safe from any thread. */
final class SoakHistory {
    /** Discovery has a new version, in which this node may have new work or not. */
    record Change(double at, long version, String node, boolean wanted) {}

    /** Discovery has written an answer to this instance that is complete up to this version. */
    record Told(double at, int instance, long version) {}

    /** Discovery could not be reached in this time. */
    record Outage(double from, double to) {}

    /** The open watch of this instance fell silent; its next call is answered. */
    record WatchSilent(double at, int instance) {}

    /** The instance was told to read its file again, in which discovery has another address. */
    record Moved(double at, int instance) {}

    /** A process of an instance began; {@code ended} is infinite while it runs. */
    record Life(int instance, double from, double termAt, double ended, boolean killed, int exitCode) {}

    /** The first byte of a command has reached a node, which was told to work on it for so long and may run it. */
    record Arrived(double at, String node, String id, double waitTold, boolean mayRun) {}

    /** A client has written a whole request; it waits for so long. */
    record Asked(double at, String id, int instance, boolean unsafe, double patience) {}

    /** How a request ended for its client. */
    enum End { SERVED, REFUSED, FAILED, CLIENT_LEFT, CONNECTION_ENDED, NO_ANSWER }

    /** The client has its answer, or has ended the connection, or saw it end. */
    record Ended(double at, String id, End end) {}

    private final long began = System.nanoTime();
    final List<Change> changes = new ArrayList<>();
    final List<Told> told = new ArrayList<>();
    final List<Outage> outages = new ArrayList<>();
    final List<WatchSilent> silences = new ArrayList<>();
    final List<Moved> moves = new ArrayList<>();
    final List<Life> lives = new ArrayList<>();
    final List<Arrived> arrivals = new ArrayList<>();
    final List<Asked> asked = new ArrayList<>();
    final List<Ended> ends = new ArrayList<>();
    /** Lines of the processes' logs that tell of a fault of the program itself. */
    final List<String> faultLines = new ArrayList<>();
    /** Lists are pushed to an agent of each instance, not asked for. */
    boolean pushed;

    double now() {
        return (System.nanoTime() - began) / 1e6;
    }

    /** The history up to now; what comes later is not in it. */
    synchronized SoakHistory snapshot() {
        SoakHistory copy = new SoakHistory();
        copy.changes.addAll(changes);
        copy.told.addAll(told);
        copy.outages.addAll(outages);
        copy.silences.addAll(silences);
        copy.moves.addAll(moves);
        copy.lives.addAll(lives);
        copy.arrivals.addAll(arrivals);
        copy.asked.addAll(asked);
        copy.ends.addAll(ends);
        copy.faultLines.addAll(faultLines);
        copy.pushed = pushed;
        return copy;
    }

    synchronized void add(Change event) {
        changes.add(event);
    }

    synchronized void add(Told event) {
        told.add(event);
    }

    synchronized void add(Outage event) {
        outages.add(event);
    }

    synchronized void add(WatchSilent event) {
        silences.add(event);
    }

    synchronized void add(Moved event) {
        moves.add(event);
    }

    synchronized void add(Life event) {
        lives.add(event);
    }

    synchronized void add(Arrived event) {
        arrivals.add(event);
    }

    synchronized void add(Asked event) {
        asked.add(event);
    }

    synchronized void add(Ended event) {
        ends.add(event);
    }
}
