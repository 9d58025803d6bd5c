package kelphollow.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import kelphollow.protocol.discovery.DiscoveryListParser;
import kelphollow.protocol.json.Json;

/** One parsed JSON object of a configuration. Each accessor validates a value and reports an invalid one by its full key. */
final class ConfigSection {
    private final Map<?, ?> values;
    /** Prefix that completes a key's name: empty, or the path of this object followed by a dot. */
    private final String path;

    ConfigSection(Map<?, ?> values, String path) {
        this.values = values;
        this.path = path;
    }

    /** Reads a file that holds one JSON object; errors are reported under {@code key}, which names the file. */
    static ConfigSection readFile(String key, String file) throws ConfigurationException {
        try {
            if (Json.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> values) {
                return new ConfigSection(values, "");
            }
            throw ConfigurationException.failed(key, file + " holds no JSON object");
        } catch (IOException e) {
            throw ConfigurationException.failed(key, file + ": " + e.getMessage());
        }
    }

    /** Returns the parsed values, unchecked. */
    Map<?, ?> values() {
        return values;
    }

    /** Returns the full name of a key, with the path of this object. */
    String key(String key) {
        return path + key;
    }

    /** Returns the parsed value, unchecked, or null. */
    Object value(String key) {
        return values.get(key);
    }

    boolean has(String key) {
        return values.get(key) != null;
    }

    /** Rejects any other key, so that a misspelt key is reported instead of ignored. */
    void allowOnly(String... keys) throws ConfigurationException {
        for (Object key : values.keySet()) {
            if (!List.of(keys).contains(key)) {
                throw new ConfigurationException(path + key + " is not known");
            }
        }
    }

    /** Returns a required object. */
    ConfigSection section(String key) throws ConfigurationException {
        if (values.get(key) instanceof Map<?, ?> section) {
            return new ConfigSection(section, path + key + ".");
        }
        throw new ConfigurationException(path + key + " is missing or not an object");
    }

    /** Returns an object, or an empty one if the key is missing or holds no object. */
    ConfigSection sectionOrEmpty(String key) {
        return new ConfigSection(values.get(key) instanceof Map<?, ?> section ? section : Map.of(), path + key + ".");
    }

    /** Returns a required string that must not be empty. */
    String text(String key) throws ConfigurationException {
        return text(key, null);
    }

    /** Returns a string that must not be empty, or {@code defaultValue} if the key is missing. */
    String text(String key, String defaultValue) throws ConfigurationException {
        Object value = has(key) ? values.get(key) : defaultValue;
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw value == null ? ConfigurationException.missing(path + key) : ConfigurationException.notString(path + key);
    }

    /** Checks that optional keys hold strings where they are present. */
    void checkStrings(String... keys) throws ConfigurationException {
        for (String key : keys) {
            if (has(key) && !(values.get(key) instanceof String)) {
                throw ConfigurationException.notString(path + key);
            }
        }
    }

    /** Returns a required number of at least {@code minimum}. */
    double number(String key, double minimum) throws ConfigurationException {
        return number(key, Double.NaN, minimum);
    }

    /** Returns a number of at least {@code minimum}, or {@code defaultValue} if missing; NaN makes the key required. */
    double number(String key, double defaultValue, double minimum) throws ConfigurationException {
        Object value = has(key) ? values.get(key) : (Double) defaultValue;
        if (value instanceof Double number && number >= minimum) {
            return number;
        }
        throw has(key) ? new ConfigurationException(path + key + " must be a number of at least " + minimum)
            : ConfigurationException.missing(path + key);
    }

    /** Returns a number within the bounds, cut to an integer, or {@code defaultValue} if the key is missing. */
    long integer(String key, long defaultValue, long minimum, long maximum) throws ConfigurationException {
        double value = number(key, (double) defaultValue, (double) minimum);
        if (value > maximum) {
            throw new ConfigurationException(path + key + " must be at most " + maximum);
        }
        return (long) value;
    }

    /** Checks that optional keys, which not every site sets, hold numbers of at least 0 where they are present. */
    void checkNumbers(String... keys) throws ConfigurationException {
        for (String key : keys) {
            number(key, 0, 0);
        }
    }

    /** Returns a boolean, or {@code defaultValue} if the key is missing. */
    boolean flag(String key, boolean defaultValue) throws ConfigurationException {
        if (!has(key)) {
            return defaultValue;
        }
        if (values.get(key) instanceof Boolean flag) {
            return flag;
        }
        throw new ConfigurationException(path + key + " must be true or false");
    }

    /** Returns a required address, {@code host:port}. */
    InetSocketAddress address(String key) throws ConfigurationException {
        return parseAddress(text(key), path + key);
    }

    /** Returns a required path; the file or folder need not exist. */
    Path file(String key) throws ConfigurationException {
        return parsePath(text(key), path + key);
    }

    /** Parses {@code host:port}; errors are reported under {@code key}. */
    static InetSocketAddress parseAddress(String text, String key) throws ConfigurationException {
        try {
            return DiscoveryListParser.parseAddress(text, key);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(e.getMessage());
        }
    }

    /** Parses a path; errors are reported under {@code key}. */
    static Path parsePath(String text, String key) throws ConfigurationException {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw ConfigurationException.unusable(key, text, " is not a valid path");
        }
    }

    /** Parses a seed of up to 16 hex digits. */
    static long parseSeed(String hex) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw ConfigurationException.unusable("seed", hex, " is not a number of up to 16 hex digits");
        }
    }
}
