package kelphollow.store;

/** How recovery treats damage that it finds. */
enum RecoveryMode {
    /** Repairs one copy from the other; fails if acknowledged data is intact in neither. */
    REJECT_LOSS,
    /** Repairs one copy from the other and drops data that is intact in neither. */
    ACCEPT_LOSS,
    /** Reads everything and changes nothing. */
    INSPECT
}
