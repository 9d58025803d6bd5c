package kelphollow.digest;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Everything that one instance publishes, by subject and key. Subjects are kept by their wire name, so that an instance
 * forwards subjects of a later version of the program that it does not know. Immutable.
 *
 * @param instance the publisher
 * @param epoch number of the publisher's process
 * @param version within the epoch; a higher one replaces a lower one as a whole
 * @param age milliseconds since it was published, as far as is known; added up along its way, never taken from a wall clock
 * @param subjects at most {@link #MAX_SUBJECTS}, each with at most {@link #MAX_KEYS} keys
 */
public record InstanceState(String instance, long epoch, long version, double age,
                            Map<String, Map<String, Double>> subjects) {
    /** Maximum number of subjects of one instance, so that a faulty sender cannot make the state grow. */
    public static final int MAX_SUBJECTS = 8;
    /** Maximum number of keys of one subject. */
    public static final int MAX_KEYS = 256;
    /** Maximum length of the name of an instance, subject or key, in characters. */
    public static final int MAX_NAME_LENGTH = 128;
    // Sizes in CBOR: array, epoch, version and age; a subject's map; a value of nine bytes with the header of its key.
    private static final int HEADER_BYTES = 24;
    private static final int SUBJECT_BYTES = 4;
    private static final int VALUE_BYTES = 11;

    /** Throws {@link IllegalArgumentException} if a bound is exceeded or a value is not finite. */
    public InstanceState {
        checkName(instance);
        if (epoch < 0 || version < 0 || !(age >= 0)) {
            throw new IllegalArgumentException("state of " + instance + " needs epoch, version and age of at least 0, found "
                + epoch + ", " + version + " and " + age);
        }
        if (subjects.size() > MAX_SUBJECTS) {
            throw new IllegalArgumentException("state of " + instance + " has " + subjects.size() + " subjects, at most "
                + MAX_SUBJECTS + " are allowed");
        }
        Map<String, Map<String, Double>> copy = new TreeMap<>();
        subjects.forEach((subject, values) -> copy.put(subject, checkedCopy(subject, values)));
        subjects = Collections.unmodifiableMap(copy);
    }

    private static Map<String, Double> checkedCopy(String subject, Map<String, Double> values) {
        checkName(subject);
        if (values.size() > MAX_KEYS) {
            throw new IllegalArgumentException("subject " + subject + " has " + values.size() + " keys, at most "
                + MAX_KEYS + " are allowed");
        }
        values.forEach((key, value) -> {
            checkName(key);
            if (!Double.isFinite(value)) {
                throw new IllegalArgumentException(subject + "." + key + " must be a finite number, found " + value);
            }
        });
        return Collections.unmodifiableMap(new TreeMap<>(values));
    }

    private static void checkName(String name) {
        if (name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("name of an instance, subject or key must have 1 to " + MAX_NAME_LENGTH
                + " characters");
        }
    }

    /** The values of one subject by key, sorted by key; empty if there are none. */
    public Map<String, Double> values(Subject subject) {
        return subjects.getOrDefault(subject.wireName(), Map.of());
    }

    /** Approximate size in CBOR, in bytes, by which states are packed into datagrams. */
    public int estimatedBytes() {
        int bytes = HEADER_BYTES + instance.length();
        for (Map.Entry<String, Map<String, Double>> subject : subjects.entrySet()) {
            bytes += SUBJECT_BYTES + subject.getKey().length();
            for (String key : subject.getValue().keySet()) {
                bytes += VALUE_BYTES + key.length();
            }
        }
        return bytes;
    }

    /** Whether this state replaces {@code other}, a state of the same instance. */
    public boolean supersedes(InstanceState other) {
        return epoch != other.epoch ? epoch > other.epoch : version > other.version;
    }

    /** This state with another age, in milliseconds. */
    public InstanceState withAge(double millis) {
        return new InstanceState(instance, epoch, version, millis, subjects);
    }
}
