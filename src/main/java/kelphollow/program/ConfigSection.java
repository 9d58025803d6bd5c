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

/** One object of a configuration as it was parsed. Its readers check a value and name the full key of one that is faulty. */
final class ConfigSection {
    private final Map<?, ?> values;
    /** What stands before a key to name it in full: empty, or a path with its dot. */
    private final String path;

    ConfigSection(Map<?, ?> values, String path) {
        this.values = values;
        this.path = path;
    }

    /** A file that holds one JSON object; {@code key} names where the file is named. */
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

    /** The values as they were parsed. */
    Map<?, ?> values() {
        return values;
    }

    /** The full name of a key. */
    String key(String key) {
        return path + key;
    }

    /** The value as it was parsed, or null. */
    Object value(String key) {
        return values.get(key);
    }

    boolean has(String key) {
        return values.get(key) != null;
    }

    /** Guards against misspelt keys: one that nobody reads is a fault. */
    void allowOnly(String... keys) throws ConfigurationException {
        for (Object key : values.keySet()) {
            if (!List.of(keys).contains(key)) {
                throw new ConfigurationException(path + key + " is not known");
            }
        }
    }

    /** An object that must be there. */
    ConfigSection section(String key) throws ConfigurationException {
        if (values.get(key) instanceof Map<?, ?> section) {
            return new ConfigSection(section, path + key + ".");
        }
        throw new ConfigurationException(path + key + " is missing or not an object");
    }

    /** An object, or an empty one if there is none. */
    ConfigSection sectionOrEmpty(String key) {
        return new ConfigSection(values.get(key) instanceof Map<?, ?> section ? section : Map.of(), path + key + ".");
    }

    /** A text that must be there and not be empty. */
    String text(String key) throws ConfigurationException {
        return text(key, null);
    }

    /** A text that is not empty; {@code absent} stands in for a missing one. */
    String text(String key, String absent) throws ConfigurationException {
        Object value = has(key) ? values.get(key) : absent;
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw value == null ? ConfigurationException.missing(path + key) : ConfigurationException.notText(path + key);
    }

    /** Checks keys that may be missing, but are texts where they are there. */
    void checkTexts(String... keys) throws ConfigurationException {
        for (String key : keys) {
            if (has(key) && !(values.get(key) instanceof String)) {
                throw ConfigurationException.notText(path + key);
            }
        }
    }

    /** A number of at least {@code least} that must be there. */
    double number(String key, double least) throws ConfigurationException {
        return number(key, Double.NaN, least);
    }

    /** A number of at least {@code least}; {@code absent} stands in for a missing one, NaN if it must be there. */
    double number(String key, double absent, double least) throws ConfigurationException {
        Object value = has(key) ? values.get(key) : (Double) absent;
        if (value instanceof Double number && number >= least) {
            return number;
        }
        throw has(key) ? new ConfigurationException(path + key + " must be a number of at least " + least)
            : ConfigurationException.missing(path + key);
    }

    /** An integer within bounds; {@code absent} stands in for a missing one. */
    long integer(String key, long absent, long least, long most) throws ConfigurationException {
        double value = number(key, (double) absent, (double) least);
        if (value > most) {
            throw new ConfigurationException(path + key + " must be at most " + most);
        }
        return (long) value;
    }

    /**
     * Checks keys that may be missing, since not every site has them, but are numbers of at least 0 where they are
     * there.
     */
    void checkNumbers(String... keys) throws ConfigurationException {
        for (String key : keys) {
            number(key, 0, 0);
        }
    }

    /** A truth value; {@code absent} stands in for a missing one. */
    boolean flag(String key, boolean absent) throws ConfigurationException {
        if (!has(key)) {
            return absent;
        }
        if (values.get(key) instanceof Boolean flag) {
            return flag;
        }
        throw new ConfigurationException(path + key + " must be true or false");
    }

    /** An address, {@code host:port}, that must be there. */
    InetSocketAddress address(String key) throws ConfigurationException {
        return parseAddress(text(key), path + key);
    }

    /** The path of a file or folder that must be there; the file itself need not exist. */
    Path file(String key) throws ConfigurationException {
        return parsePath(text(key), path + key);
    }

    /** An address from its text. */
    static InetSocketAddress parseAddress(String text, String key) throws ConfigurationException {
        try {
            return DiscoveryListParser.parseAddress(text, key);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(e.getMessage());
        }
    }

    /** A path from its text. */
    static Path parsePath(String text, String key) throws ConfigurationException {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw ConfigurationException.unusable(key, text, " is no path");
        }
    }

    /** A seed from its text of hex digits. */
    static long parseSeed(String hex) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw ConfigurationException.unusable("seed", hex, " is not a number of up to 16 hex digits");
        }
    }
}
