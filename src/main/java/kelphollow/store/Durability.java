package kelphollow.store;

/** What an acknowledgement promises. */
public enum Durability {
    /** Both copies are with the operating system: it outlives the process, not the machine. */
    BUFFERED,
    /** Both copies are synced, and with them all that was written before: it outlives the machine. */
    SYNCED
}
