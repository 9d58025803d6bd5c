package kelphollow.store;

/** What an opening may do about what it finds. */
enum RecoveryMode {
    /** Repairs from the other copy; fails if something that was acknowledged is intact in neither. */
    REJECT_LOSS,
    /** Repairs from the other copy and gives up what is intact in neither. */
    ACCEPT_LOSS,
    /** Reads everything and changes nothing. */
    INSPECT
}
