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
import kelphollow.lab.soak.SoakHistory.Upgrade;
import kelphollow.lab.soak.SoakHistory.WatchSilent;

/**
 * Derives which list version a process counts as notified of at a time. By the platform's rules that is from the time the
 * version is written to it, and in any case after a fixed time since the change. Times are in milliseconds.
 */
final class ListKnowledge {
    /** Time after a change from which it counts as notified, while discovery is reachable. */
    static final double NOTIFIED_AFTER_MS = 6_000;
    /** Time after a move of discovery from which earlier changes count as notified. */
    static final double MOVE_NOTIFIED_AFTER_MS = 4_000;
    /** Time after the new process of an upgrade was ready from which what discovery writes to either process binds. */
    static final double BINDING_AFTER_READY_MS = 2_000;
    /** Returned instead of a version when none counts as notified, or none was written, by the time asked for. */
    static final long NONE = -1;

    /** One process of an instance. */
    private record ProcessRun(int instance, double from) {}

    private final boolean pushed;
    private final double slack;
    private final List<ListChanged> changes;
    private final List<ListWritten> writes;
    private final List<DiscoveryMoved> moves;
    private final List<WatchSilent> silentWatches;
    private final List<Incarnation> incarnations;
    private final List<Outage> outages;
    private final List<Upgrade> upgrades;
    private final Map<ProcessRun, double[]> notifiedFrom = new HashMap<>();

    /** {@code slack} is the delay that the machine of the run may have added. */
    ListKnowledge(SoakHistory history, double slack) {
        this.pushed = history.isPushed();
        this.slack = slack;
        this.changes = history.all(ListChanged.class);
        this.writes = history.all(ListWritten.class);
        this.moves = history.all(DiscoveryMoved.class);
        this.silentWatches = history.all(WatchSilent.class);
        this.incarnations = history.all(Incarnation.class);
        this.upgrades = history.all(Upgrade.class);
        this.outages = history.all(Outage.class).stream().sorted(Comparator.comparingDouble(Outage::from)).toList();
    }

    /**
     * Returns the start time of the process that an instance ran at that time; the processes of an upgrade count as one,
     * started with the first.
     */
    double processStartedAt(int instance, double at) {
        double latest = incarnations.stream().filter(process -> process.instance() == instance && process.from() <= at)
            .mapToDouble(Incarnation::from).max().orElse(0);
        boolean replaced = upgrades.stream()
            .anyMatch(upgrade -> upgrade.instance() == instance && upgrade.startedAt() == latest);
        return replaced ? processStartedAt(instance, Math.nextDown(latest)) : latest;
    }

    /** Returns when a written version binds: at once, or during an upgrade some time after the new process is ready. */
    private double bindsFrom(ListWritten write) {
        return upgrades.stream()
            .filter(upgrade -> upgrade.instance() == write.instance() && upgrade.startedAt() <= write.at())
            .mapToDouble(upgrade -> Math.max(write.at(), upgrade.readyAt() + BINDING_AFTER_READY_MS)).min()
            .orElse(write.at());
    }

    /** Returns the newest version that the process counts as notified of at that time by any rule, or {@link #NONE}. */
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

    /** Returns the newest version that was written to the process by that time, or {@link #NONE}. */
    long writtenVersion(int instance, double processFrom, double at) {
        return writes.stream().filter(
            written -> written.instance() == instance && written.at() >= processFrom && written.at() <= at)
            .mapToLong(ListWritten::version).max().orElse(NONE);
    }

    /** Whether no version from the first to the last of these allows new requests to the node. */
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

    /** Returns when a change counts as notified: at its write, or by the rules on silent watches, outages and moves. */
    private double notifiedFrom(ProcessRun process, ListChanged change) {
        double written = writes.stream()
            .filter(write -> write.instance() == process.instance && write.at() >= process.from
                && write.version() >= change.version())
            .mapToDouble(this::bindsFrom).min().orElse(Double.POSITIVE_INFINITY);
        boolean atOnce = pushed && !isSilent(process.instance, change.at());
        double byAge = reachableFor(change.at(), atOnce ? 0 : NOTIFIED_AFTER_MS);
        double byMove = Double.POSITIVE_INFINITY;
        for (DiscoveryMoved moved : moves) {
            if (moved.instance() == process.instance && moved.at() >= change.at() && moved.at() >= process.from) {
                byMove = Math.min(byMove, reachableFor(moved.at(), MOVE_NOTIFIED_AFTER_MS));
            }
        }
        return Math.min(written, Math.min(byAge, byMove));
    }

    private boolean isSilent(int instance, double at) {
        return silentWatches.stream().anyMatch(silent -> silent.instance() == instance && at >= silent.at() - slack
            && at < silent.at() + NOTIFIED_AFTER_MS);
    }

    /** Returns the first time since {@code from} at which discovery had been reachable for all of {@code span}. */
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
