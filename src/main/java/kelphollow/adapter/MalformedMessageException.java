package kelphollow.adapter;

/** Thrown if the input violates the wire format; the message names the offending value. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
