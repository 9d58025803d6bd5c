package kelphollow.program;

/** A fault in the configuration; the message names the key or file, what was found or what is wanted. */
final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(message);
    }

    /** A key that must be there is not. */
    static ConfigurationException missing(String key) {
        return new ConfigurationException(key + " is missing");
    }

    static ConfigurationException notText(String key) {
        return new ConfigurationException(key + " is not a text");
    }

    /** The value of a key cannot be used; {@code wanted} says why, or what is wanted instead. */
    static ConfigurationException unusable(String key, String found, String wanted) {
        return new ConfigurationException(key + ": '" + found + "'" + wanted);
    }

    /** What a key names cannot be used, as {@code reason} says. */
    static ConfigurationException failed(String key, String reason) {
        return new ConfigurationException(key + ": " + reason);
    }
}
