package kelphollow.protocol.resp;

/** Thrown for a command that does not conform to the protocol; the message is sent to the client. */
final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedCommandException(String message) {
        super(message);
    }
}
