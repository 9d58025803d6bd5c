package kelphollow.program;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;
import kelphollow.routing.SiblingList;

/**
 * Exchanges endpoint lists with the other process of an upgrade through files in the shared folder, as long as there is
 * one. Confined to the management loop.
 */
final class SiblingLists {
    private static final Logger LOG = Logger.getLogger(SiblingLists.class.getName());

    private final Scheduler scheduler;
    private final ProcessHandover processes;
    private final SiblingListFile own;
    private final Map<Long, SiblingListFile> siblings = new HashMap<>();
    /** The list last written, or null. */
    private SiblingList written;

    /** {@code pid} is the id of this process. */
    SiblingLists(Scheduler scheduler, ProcessHandover processes, long pid) {
        this.scheduler = scheduler;
        this.processes = processes;
        this.own = new SiblingListFile(processes.listFile(pid));
    }

    /** Writes the own list if it has changed and reads those of other live processes; returns whether there is one. */
    boolean exchange() {
        Set<Long> others = processes.others();
        siblings.keySet().retainAll(others);
        scheduler.setHasSibling(!others.isEmpty());
        if (!others.isEmpty()) {
            publish();
        }
        others.forEach(this::read);
        return !others.isEmpty();
    }

    /** Writes the own list if it has changed since. */
    void publish() {
        SiblingList list = scheduler.listForSibling();
        if (list == null || list.isSameVersionAs(written)) {
            return;
        }
        try {
            own.write(list);
            written = list;
        } catch (IOException e) {
            LOG.warning("endpoint list not written for the other process, tried again: " + e.getMessage());
        }
    }

    private void read(long process) {
        SiblingListFile file = siblings.computeIfAbsent(process, id -> new SiblingListFile(processes.listFile(id)));
        try {
            SiblingList list = file.readChange();
            if (list != null) {
                scheduler.siblingListRead(list);
            }
        } catch (IOException e) {
            LOG.fine(() -> "endpoint list of process " + process + " not read, tried again: " + e.getMessage());
        }
    }
}
