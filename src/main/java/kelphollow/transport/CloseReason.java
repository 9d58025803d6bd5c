package kelphollow.transport;

/** Why a client's connection was closed. */
public enum CloseReason {
    /** The client closed or reset it. */
    CLIENT_DISCONNECTED,
    /** Reading or writing failed. */
    IO_ERROR,
    /** It was idle, or its command incomplete, for too long. */
    IDLE,
    /** It was idle and made room for a new connection. */
    EVICTED,
    /** There was no room for it: nothing was read from it. */
    NO_ROOM,
    /** Its input cannot be parsed any further. */
    MALFORMED_INPUT,
    /** Too many of its commands awaited their replies. */
    TOO_MANY_COMMANDS,
    /** Its incomplete command made room for those of others. */
    INCOMPLETE_COMMAND_EVICTED,
    /** The client read nothing of a streamed value for too long. */
    CLIENT_STALLED,
    /** A streamed value was truncated: its node failed or stalled, or the scheduler shut down. */
    VALUE_TRUNCATED,
    /** The response was the last one that the client or the server wanted on it. */
    LAST_RESPONSE,
    /** The scheduler shuts down. */
    SHUTDOWN
}
