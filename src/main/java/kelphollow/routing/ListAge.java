package kelphollow.routing;

/** How old the node list is by which an attempt is written, against the time after which a change counts as told. */
enum ListAge {
    /** Discovery's word is younger than {@link ListBudget#TOLD_AFTER}. */
    CURRENT,
    /** Older than that. */
    OLD,
    /** Nothing has come from discovery since the start: the list is the one of the configuration, of unknown age. */
    NEVER_HEARD
}
