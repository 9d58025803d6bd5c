package kelphollow.routing;

/** Whether the first byte of an attempt may be written now, and if not, why. */
public enum SendVerdict {
    /** The first byte may be written. */
    ALLOWED,
    /** The attempt has ended, by its timeout or by a cancellation. */
    ATTEMPT_ENDED,
    /** Its request has had its final response, or its client has disconnected. */
    REQUEST_FINISHED,
    /** The timeout of the attempt has passed. */
    DEADLINE_EXCEEDED,
    /** The attempt is a retry, and nodes may have forgotten the idempotency key by now. */
    IDEMPOTENCY_WINDOW_EXPIRED,
    /** The node is draining, not on the endpoint list, in maintenance or ejected. */
    ENDPOINT_NOT_ELIGIBLE,
    /** The lease on the endpoint list has expired or has not begun. */
    LEASE_EXPIRED,
    /** The client has disconnected, or may have: its disconnect may wait behind input that has not been read. */
    CLIENT_UNCONFIRMED
}
