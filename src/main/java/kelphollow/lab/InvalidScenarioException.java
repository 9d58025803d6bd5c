package kelphollow.lab;

/** A scenario that cannot be played; the message names the key. */
final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(String message) {
        super(message);
    }
}
