package kelphollow.protocol.resp;

/** A command in a form that this protocol does not know; the message goes to the client. */
final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedCommandException(String message) {
        super(message);
    }
}
