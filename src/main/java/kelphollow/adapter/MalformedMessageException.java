package kelphollow.adapter;

/** The input breaks the wire's form; the message names the fault. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
