package kelphollow.digest;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * All that one instance publishes, by subject and key. Subjects are kept by their wire name, so that those of a later
 * version are passed on by an earlier one. Immutable.
 *
 * @param instance the publisher
 * @param epoch number of its process
 * @param version within the epoch; a higher one replaces a lower one as a whole
 * @param age milliseconds since the instance published it, as far as is known; grows on its way, never from a wall clock
 * @param subjects at most {@link #MAX_SUBJECTS}, each with at most {@link #MAX_KEYS} keys
 */
public record InstanceState(String instance, long epoch, long version, double age,
                            Map<String, Map<String, Double>> subjects) {
    /** Most subjects of one instance: a faulty sender cannot make the state grow. */
    public static final int MAX_SUBJECTS = 8;
    /** Most keys of one subject. */
    public static final int MAX_KEYS = 256;
    /** Longest name of an instance, subject or key, in characters. */
    public static final int MAX_NAME_LENGTH = 128;
    // In CBOR: array, epoch, version and age; a subject's map; a value of nine bytes with its key's head.
    private static final int HEAD_BYTES = 24;
    private static final int SUBJECT_BYTES = 4;
    private static final int VALUE_BYTES = 11;

    /** Throws {@link IllegalArgumentException} if a bound is exceeded or a value is not finite. */
    public InstanceState {
        checkName(instance);
        if (epoch < 0 || version < 0 || !(age >= 0)) {
            throw new IllegalArgumentException("epoch, version and age must not be negative");
        }
        if (subjects.size() > MAX_SUBJECTS) {
            throw new IllegalArgumentException("more than " + MAX_SUBJECTS + " subjects");
        }
        Map<String, Map<String, Double>> copy = new TreeMap<>();
        subjects.forEach((subject, values) -> copy.put(subject, checkedCopy(subject, values)));
        subjects = Collections.unmodifiableMap(copy);
    }

    private static Map<String, Double> checkedCopy(String subject, Map<String, Double> values) {
        checkName(subject);
        if (values.size() > MAX_KEYS) {
            throw new IllegalArgumentException("more than " + MAX_KEYS + " keys in " + subject);
        }
        values.forEach((key, value) -> {
            checkName(key);
            if (!Double.isFinite(value)) {
                throw new IllegalArgumentException(subject + "." + key + " is not a finite number");
            }
        });
        return Collections.unmodifiableMap(new TreeMap<>(values));
    }

    private static void checkName(String name) {
        if (name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("a name is empty or too long");
        }
    }

    /** The values on one subject by key, in order of the keys; empty if there are none. */
    public Map<String, Double> values(Subject subject) {
        return subjects.getOrDefault(subject.wireName(), Map.of());
    }

    /** Approximate size in CBOR, in bytes; what bounds a datagram. */
    public int estimatedBytes() {
        int bytes = HEAD_BYTES + instance.length();
        for (Map.Entry<String, Map<String, Double>> subject : subjects.entrySet()) {
            bytes += SUBJECT_BYTES + subject.getKey().length();
            for (String key : subject.getValue().keySet()) {
                bytes += VALUE_BYTES + key.length();
            }
        }
        return bytes;
    }

    /** Whether this one replaces the other, which is of the same instance. */
    public boolean supersedes(InstanceState other) {
        return epoch != other.epoch ? epoch > other.epoch : version > other.version;
    }

    /** The same, published so many milliseconds ago. */
    public InstanceState withAge(double millis) {
        return new InstanceState(instance, epoch, version, millis, subjects);
    }
}
