package kelphollow.routing;

/** Whether the first byte of an attempt may be written now, and if not, why. */
public enum SendVerdict {
    /** It may. */
    ALLOWED,
    /** The attempt has ended, by its time-out or by a cancellation. */
    ATTEMPT_ENDED,
    /** Its request has had its final answer, or its client has left. */
    REQUEST_FINISHED,
    /** Nothing is left of the time for which the attempt would be waited for. */
    DEADLINE_EXCEEDED,
    /** A repeat, and nodes may have forgotten the first attempt by now. */
    IDEMPOTENCY_WINDOW_EXPIRED,
    /** The node drains, is gone from the list, banned, or left alone for the sake of other instances. */
    ENDPOINT_NOT_ELIGIBLE,
    /** The lease on the node list has ended, or has not begun. */
    LEASE_EXPIRED
}
