package kelphollow.routing;

import java.util.Map;

/**
 * Decides whether the endpoint list of the sibling process restricts the own one. Both processes of an upgrade count as one
 * scheduler, so what discovery wrote to one of them binds the other: of a newer list at the sibling, only nodes that are
 * usable in both are used, until the own list is as new. No I/O; not thread-safe.
 */
public final class SiblingRestriction {
    private String source;
    private long version;
    /** Newer than the own list, or null. */
    private SiblingList newer;

    /** Creates a restriction for a list of this source and version, which need not have been received from it. */
    public SiblingRestriction(String source, long version) {
        this.source = source;
        this.version = version;
    }

    /** The own list was received. A lower version from the same source shows that the source has restarted its count. */
    public void listReceived(String from, long received) {
        boolean restarted = from.equals(source) && received < version;
        source = from;
        version = received;
        if (newer != null && (restarted || !isNewer(newer))) {
            newer = null;
        }
    }

    /** The sibling's list was read. */
    public void siblingListRead(SiblingList list) {
        newer = isNewer(list) ? list : null;
    }

    private boolean isNewer(SiblingList list) {
        return list.source().equals(source) && list.version() > version;
    }

    /** The nodes to which the own list is restricted, with the time of their last start; null without a restriction. */
    public Map<String, Double> usable() {
        return newer == null ? null : newer.usable();
    }
}
