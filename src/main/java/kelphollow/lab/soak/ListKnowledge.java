package kelphollow.lab.soak;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import kelphollow.lab.soak.SoakHistory.DiscoveryMoved;
import kelphollow.lab.soak.SoakHistory.Incarnation;
import kelphollow.lab.soak.SoakHistory.ListChanged;
import kelphollow.lab.soak.SoakHistory.ListWritten;
import kelphollow.lab.soak.SoakHistory.Outage;
import kelphollow.lab.soak.SoakHistory.WatchSilent;

/**
 * Which version of the list a process counts as notified of at what time, by the platform's rules: from its being written to
 * it, and in any case some time after the change. Times in milliseconds.
 */
final class ListKnowledge {
    /** A change counts as notified so long after it, as long as discovery can be reached. */
    static final double NOTIFIED_AFTER = 6_000;
    /** The same counted from a move of discovery. */
    static final double MOVE_NOTIFIED_AFTER = 4_000;
    /** No version. */
    static final long NONE = -1;

    /** One process of an instance. */
    private record ProcessRun(int instance, double from) {}

    private final boolean pushed;
    private final double slack;
    private final List<ListChanged> changes;
    private final List<ListWritten> writings;
    private final List<DiscoveryMoved> moves;
    private final List<WatchSilent> silences;
    private final List<Incarnation> incarnations;
    private final List<Outage> outages;
    private final Map<ProcessRun, double[]> notifiedFrom = new HashMap<>();

    /** {@code slack} is what the machine that played may have added. */
    ListKnowledge(SoakHistory history, double slack) {
        this.pushed = history.isPushed();
        this.slack = slack;
        this.changes = history.all(ListChanged.class);
        this.writings = history.all(ListWritten.class);
        this.moves = history.all(DiscoveryMoved.class);
        this.silences = history.all(WatchSilent.class);
        this.incarnations = history.all(Incarnation.class);
        this.outages = history.all(Outage.class).stream().sorted(Comparator.comparingDouble(Outage::from)).toList();
    }

    /** When the process began that an instance ran at that time. */
    double processStartedAt(int instance, double at) {
        return incarnations.stream().filter(process -> process.instance() == instance && process.from() <= at)
            .mapToDouble(Incarnation::from).max().orElse(0);
    }

    /** The newest version that the process counts as notified of at that time, by whichever rule, or {@link #NONE}. */
    long notifiedVersion(int instance, double processFrom, double at) {
        double[] from = notifiedFrom.computeIfAbsent(new ProcessRun(instance, processFrom), process -> changes.stream()
            .mapToDouble(change -> notifiedFrom(process, change)).toArray());
        long newest = NONE;
        for (int i = 0; i < from.length; i++) {
            if (from[i] <= at) {
                newest = Math.max(newest, changes.get(i).version());
            }
        }
        return newest;
    }

    /** The newest version that was written to the process by that time, or {@link #NONE}. */
    long writtenVersion(int instance, double processFrom, double at) {
        return writings.stream().filter(
            written -> written.instance() == instance && written.at() >= processFrom && written.at() <= at)
            .mapToLong(ListWritten::version).max().orElse(NONE);
    }

    /** Whether the node may get nothing new in any version from the first to the last of these. */
    boolean isUnusable(String node, long first, long last) {
        boolean usable = true;
        for (ListChanged change : changes) {
            if (!Objects.equals(change.node(), node)) {
                continue;
            }
            if (change.version() <= first) {
                usable = change.usable();
            } else if (change.version() <= last && change.usable()) {
                return false;
            }
        }
        return !usable;
    }

    /** When a change counts as notified: written to the process, or by the rules on silence, outages and moves. */
    private double notifiedFrom(ProcessRun process, ListChanged change) {
        double written = writings.stream()
            .filter(writing -> writing.instance() == process.instance && writing.at() >= process.from
                && writing.version() >= change.version())
            .mapToDouble(ListWritten::at).min().orElse(Double.POSITIVE_INFINITY);
        boolean atOnce = pushed && !isSilent(process.instance, change.at());
        double byTime = reachableFor(change.at(), atOnce ? 0 : NOTIFIED_AFTER);
        double byMove = Double.POSITIVE_INFINITY;
        for (DiscoveryMoved moved : moves) {
            if (moved.instance() == process.instance && moved.at() >= change.at() && moved.at() >= process.from) {
                byMove = Math.min(byMove, reachableFor(moved.at(), MOVE_NOTIFIED_AFTER));
            }
        }
        return Math.min(written, Math.min(byTime, byMove));
    }

    private boolean isSilent(int instance, double at) {
        return silences.stream().anyMatch(silence -> silence.instance() == instance && at >= silence.at() - slack
            && at < silence.at() + NOTIFIED_AFTER);
    }

    /** The first time at which discovery could be reached for so long without a break since {@code from}. */
    private double reachableFor(double from, double span) {
        double since = from;
        for (Outage outage : outages) {
            if (outage.to() > since && outage.from() <= since + span) {
                since = outage.to();
            }
        }
        return since + span;
    }
}
