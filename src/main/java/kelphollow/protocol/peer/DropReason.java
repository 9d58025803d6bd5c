package kelphollow.protocol.peer;

import java.util.Locale;

/** Why a packet or an inbound connection was dropped. */
public enum DropReason {
    /** The authentication code does not match the fleet's key, or this process itself sent the packet. */
    FORGED,
    /** The counter was used before or is too old, or the sending process has been replaced by a later one. */
    REPLAYED,
    /** Malformed, or of a kind that is not expected on this channel. */
    UNREADABLE,
    /** Larger than the limit; also counts outgoing datagrams that are too large to send. */
    OVERSIZED,
    /** A connection above the limit on concurrent inbound exchanges. */
    CROWDED;

    /** Returns the name of the reason in the log and in {@code fleet status}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
