package kelphollow.routing;

/** Whether the first byte of an attempt may be written now, and if not, why. */
public enum WriteVerdict {
    /** It may. */
    ALLOWED,
    /** The attempt has ended, by its time-out or by a cancellation. */
    ATTEMPT_ENDED,
    /** Its request has had its final answer, or its client has left. */
    REQUEST_OVER,
    /** Nothing is left of the time for which the attempt would be waited for. */
    TIME_OVER,
    /** A repeat, and nodes may have forgotten the first attempt by now. */
    WINDOW_OVER,
    /** The node drains, is gone from the list, banned, or left alone for the sake of other instances. */
    NODE_UNWANTED,
    /** The lease on the node list has ended, or has not begun. */
    LIST_EXPIRED
}
