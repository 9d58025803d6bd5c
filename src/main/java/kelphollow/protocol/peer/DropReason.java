package kelphollow.protocol.peer;

import java.util.Locale;

/** Why a received packet was dropped. */
public enum DropReason {
    /** Not sealed with the fleet's key, or sent by this process itself. */
    FORGED,
    /** Its counter was used before, or its process was replaced by a later one. */
    REPLAYED,
    /** Authentic, but no packet. */
    UNREADABLE,
    /** Larger than the bound; also a packet of this instance that is too large to be sent. */
    OVERSIZED,
    /** A connection beyond those that are served at a time. */
    CROWDED;

    /** The word for it in the log and in {@code fleet status}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
