package kelphollow.store;

/** What the acknowledgement of a write guarantees. */
public enum Durability {
    /** Both copies are written to the operating system: the write survives a crash of the process, not of the machine. */
    BUFFERED,
    /** Both copies are synced, together with all earlier writes: the write survives a crash of the machine. */
    SYNCED
}
