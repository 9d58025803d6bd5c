package kelphollow.lab;

/** Thrown for a scenario that cannot be run; the message names the faulty key. */
final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(String message) {
        super(message);
    }
}
