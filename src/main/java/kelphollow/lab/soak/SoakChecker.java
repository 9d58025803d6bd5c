package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kelphollow.lab.soak.SoakHistory.Arrived;
import kelphollow.lab.soak.SoakHistory.Asked;
import kelphollow.lab.soak.SoakHistory.Change;
import kelphollow.lab.soak.SoakHistory.End;
import kelphollow.lab.soak.SoakHistory.Ended;
import kelphollow.lab.soak.SoakHistory.Life;
import kelphollow.lab.soak.SoakHistory.Moved;
import kelphollow.lab.soak.SoakHistory.Outage;
import kelphollow.lab.soak.SoakHistory.Told;
import kelphollow.lab.soak.SoakHistory.WatchSilent;

/**
 * Judges the history of a soak by the platform's rules: drains, lost requests, duplicate effects, refusals of what may have
 * run, attempts for clients that have gone, deadlines told, ends of processes. Knows nothing of the program. Times are
 * milliseconds; {@code slack} is what the machine that played may have added.
 */
final class SoakChecker {
    /** A rule that was broken, and by what. */
    record Breach(String rule, double at, String what) {
        @Override public String toString() {
            return String.format("%s at %.0f ms: %s", rule, at, what);
        }
    }

    static final double GRACE = 250;
    static final double SOCKETS = 50;
    static final double TOLD_AFTER = 6_000;
    static final double MOVED_TOLD_AFTER = 4_000;
    static final double ANSWER_SLACK = 500;
    static final double GONE_SLACK = 100;
    static final double DEADLINE_SLACK = 150;
    /** What comes within this time after SIGTERM is owed its answer, whether SIGKILL follows or not. */
    static final double OWED_AFTER_TERM = 700;

    /** One life of an instance. */
    private record Process(int instance, double from) {}

    private final SoakHistory history;
    private final double slack;
    private final Map<Process, double[]> countsFrom = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, Ended> ends = new HashMap<>();
    private final Map<String, List<Arrived>> arrivals = new HashMap<>();

    private SoakChecker(SoakHistory history, double slack) {
        this.history = history;
        this.slack = slack;
        history.asked.forEach(a -> asked.putIfAbsent(a.id(), a));
        history.ends.forEach(e -> ends.put(e.id(), e));
        history.arrivals.forEach(a -> arrivals.computeIfAbsent(a.id(), id -> new ArrayList<>()).add(a));
    }

    /** All breaches, in no particular order. */
    static List<Breach> judge(SoakHistory history, double slack) {
        SoakChecker checker = new SoakChecker(history, slack);
        checker.drains();
        checker.answers();
        checker.effects();
        checker.clientsGone();
        checker.deadlinesTold();
        checker.processes();
        return checker.breaches;
    }

    private void breach(String rule, double at, String what) {
        breaches.add(new Breach(rule, at, what));
    }

    // ---------------------------------------------------------------- drains

    private void drains() {
        for (Arrived arrived : history.arrivals) {
            Asked request = asked.get(arrived.id());
            if (request == null) {
                breach("unknown", arrived.at(), "nobody asked for " + arrived.id());
                continue;
            }
            double lifeFrom = lifeFrom(request.instance(), arrived.at());
            long told = toldBy(request.instance(), lifeFrom, arrived.at() - GRACE - SOCKETS - slack);
            long written = writtenBy(request.instance(), lifeFrom, arrived.at());
            if (told >= 0 && unwantedFrom(arrived.node(), told, Math.max(told, written))) {
                breach("drain", arrived.at(), arrived.id() + " went to " + arrived.node() + ", which drains or is gone"
                    + " since version " + told + " or before; written up to " + written);
            }
        }
    }

    /** When the process began that an instance ran at that time. */
    private double lifeFrom(int instance, double at) {
        return history.lives.stream().filter(l -> l.instance() == instance && l.from() <= at).mapToDouble(Life::from)
            .max().orElse(0);
    }

    /** The newest version that counts as told to the process at that time, by whichever term; -1: none. */
    private long toldBy(int instance, double lifeFrom, double at) {
        double[] counts = countsFrom.computeIfAbsent(new Process(instance, lifeFrom), p -> history.changes.stream()
            .mapToDouble(c -> countsFrom(instance, lifeFrom, c)).toArray());
        long newest = -1;
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] <= at) {
                newest = Math.max(newest, history.changes.get(i).version());
            }
        }
        return newest;
    }

    private long writtenBy(int instance, double lifeFrom, double at) {
        return history.told.stream().filter(t -> t.instance() == instance && t.at() >= lifeFrom && t.at() <= at)
            .mapToLong(Told::version).max().orElse(-1);
    }

    /** When a change counts as told to a process: written to it, or by the terms on silence, outages and moves. */
    private double countsFrom(int instance, double lifeFrom, Change change) {
        double written = history.told.stream()
            .filter(t -> t.instance() == instance && t.at() >= lifeFrom && t.version() >= change.version())
            .mapToDouble(Told::at).min().orElse(Double.POSITIVE_INFINITY);
        double byTerm = reachableFor(change.at(), history.pushed && !isSilent(instance, change.at()) ? 0 : TOLD_AFTER);
        double byMove = Double.POSITIVE_INFINITY;
        for (Moved moved : history.moves) {
            if (moved.instance() == instance && moved.at() >= change.at() && moved.at() >= lifeFrom) {
                byMove = Math.min(byMove, reachableFor(moved.at(), MOVED_TOLD_AFTER));
            }
        }
        return Math.min(written, Math.min(byTerm, byMove));
    }

    private boolean isSilent(int instance, double at) {
        for (WatchSilent silence : history.silences) {
            if (silence.instance() == instance && at >= silence.at() - slack && at < silence.at() + TOLD_AFTER) {
                return true;
            }
        }
        return false;
    }

    /** The first time at which discovery could be reached for so long without a break since {@code from}. */
    private double reachableFor(double from, double span) {
        double since = from;
        for (Outage outage : history.outages.stream().sorted((a, b) -> Double.compare(a.from(), b.from())).toList()) {
            if (outage.to() > since && outage.from() <= since + span) {
                since = outage.to();
            }
        }
        return since + span;
    }

    /** Whether the node may have nothing new in any version from the first to the last of these. */
    private boolean unwantedFrom(String node, long first, long last) {
        boolean wanted = true;
        for (Change change : history.changes) {
            if (!change.node().equals(node)) {
                continue;
            }
            if (change.version() <= first) {
                wanted = change.wanted();
            } else if (change.version() <= last && change.wanted()) {
                return false;
            }
        }
        return !wanted;
    }

    // ---------------------------------------------------------------- answers

    private void answers() {
        for (Asked request : asked.values()) {
            Ended end = ends.get(request.id());
            double limit = request.at() + request.patience() + ANSWER_SLACK + slack;
            if (end == null || end.end() == End.CLIENT_LEFT || diedMeanwhile(request, limit)) {
                continue;
            }
            boolean reached = arrivals.containsKey(request.id());
            if (end.end() == End.NO_ANSWER || end.at() > limit) {
                breach("lost", end.at(), request.id() + " had no answer in its time, " + end.end());
            } else if (end.end() == End.CONNECTION_ENDED && reached) {
                breach("lost", end.at(), request.id() + " was sent on, and its connection ended without an answer");
            }
        }
    }

    /** Its process was killed before the answer was due, without SIGTERM or when that was long past. */
    private boolean diedMeanwhile(Asked request, double limit) {
        for (Life life : history.lives) {
            boolean dies = life.instance() == request.instance() && life.killed() && life.from() <= request.at()
                && life.ended() >= request.at() - slack && life.ended() <= limit;
            if (dies && (life.termAt() == Double.POSITIVE_INFINITY || request.at() > life.termAt() + OWED_AFTER_TERM)) {
                return true;
            }
        }
        return false;
    }

    // ---------------------------------------------------------------- effects

    private void effects() {
        arrivals.forEach((id, attempts) -> {
            Asked request = asked.get(id);
            Ended end = ends.get(id);
            long mayHaveRun = attempts.stream().filter(Arrived::mayRun).count();
            if (request != null && request.unsafe() && mayHaveRun > 1) {
                breach("duplicate", attempts.get(1).at(), id + " may have run " + mayHaveRun + " times: " + attempts);
            }
            if (request != null && request.unsafe() && mayHaveRun > 0 && end != null && end.end() == End.REFUSED) {
                breach("duplicate", end.at(), id + " was refused after it may have run");
            }
        });
    }

    // ---------------------------------------------------------------- clients and deadlines

    private void clientsGone() {
        for (Arrived arrived : history.arrivals) {
            Ended end = ends.get(arrived.id());
            if (end != null && arrived.at() > end.at() + GONE_SLACK + slack) {
                breach("lost", arrived.at(), arrived.id() + " reached " + arrived.node() + " after its end: " + end);
            }
        }
    }

    private void deadlinesTold() {
        for (Arrived arrived : history.arrivals) {
            Asked request = asked.get(arrived.id());
            if (request == null) {
                continue;
            }
            double left = request.at() + request.patience() - arrived.at();
            if (arrived.waitTold() > left + DEADLINE_SLACK + slack) {
                breach("deadline", arrived.at(), arrived.id() + " told " + arrived.waitTold() + " ms, has " + left);
            }
        }
    }

    private void processes() {
        for (Life life : history.lives) {
            boolean ended = life.ended() < Double.POSITIVE_INFINITY;
            if (ended && !life.killed() && life.exitCode() != 0) {
                breach("crash", life.ended(), "instance " + life.instance() + " ended with " + life.exitCode());
            } else if (ended && !life.killed() && life.termAt() == Double.POSITIVE_INFINITY) {
                breach("crash", life.ended(), "instance " + life.instance() + " ended by itself");
            }
        }
        history.faultLines.forEach(line -> breach("fault", 0, line));
    }
}
