package kelphollow.program;

/** Signals invalid configuration; the message names the key or file, the value found or the value expected. */
final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(message);
    }

    /** A required key is missing. */
    static ConfigurationException missing(String key) {
        return new ConfigurationException(key + " is missing");
    }

    /** The value of a key is of another type than string. */
    static ConfigurationException notString(String key) {
        return new ConfigurationException(key + " is not a string");
    }

    /** The value of a key is invalid; {@code reason}, appended as is, says why or which value is expected. */
    static ConfigurationException unusable(String key, String found, String reason) {
        return new ConfigurationException(key + ": '" + found + "'" + reason);
    }

    /** The file, folder or address that a key names cannot be used. */
    static ConfigurationException failed(String key, String reason) {
        return new ConfigurationException(key + ": " + reason);
    }
}
