package kelphollow.digest;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * All that one instance says, by subject and key. Immutable.
 *
 * @param instance who says it
 * @param epoch its life
 * @param version within the life; a higher one replaces a lower one whole
 * @param age milliseconds since the instance said it, as far as is known; grows on its way, never from a wall clock
 * @param subjects at most {@link #MOST_SUBJECTS}, each with at most {@link #MOST_KEYS} keys
 */
public record InstanceState(String instance, long epoch, long version, double age,
                            Map<String, Map<String, Double>> subjects) {
    /** Bounds of a part: a list that lies stays small. */
    public static final int MOST_SUBJECTS = 8;
    public static final int MOST_KEYS = 256;
    // In CBOR: array, epoch, version and age; a subject's map; a figure of nine bytes with its key's head.
    private static final int HEAD_BYTES = 24, SUBJECT_BYTES = 4, FIGURE_BYTES = 11;
    /** Longest name of an instance, subject or key, in characters. */
    public static final int LONGEST_NAME = 128;

    /** Throws {@link IllegalArgumentException} if a bound is passed or a figure is none. */
    public InstanceState {
        check(instance);
        if (epoch < 0 || version < 0 || !(age >= 0)) {
            throw new IllegalArgumentException("epoch, version and age are not below 0");
        }
        if (subjects.size() > MOST_SUBJECTS) {
            throw new IllegalArgumentException("more than " + MOST_SUBJECTS + " subjects");
        }
        Map<String, Map<String, Double>> copy = new TreeMap<>();
        subjects.forEach((subject, figures) -> {
            check(subject);
            if (figures.size() > MOST_KEYS) {
                throw new IllegalArgumentException("more than " + MOST_KEYS + " keys in " + subject);
            }
            figures.forEach((key, figure) -> {
                check(key);
                if (!Double.isFinite(figure)) {
                    throw new IllegalArgumentException(subject + "." + key + " is no number");
                }
            });
            copy.put(subject, Collections.unmodifiableMap(new TreeMap<>(figures)));
        });
        subjects = Collections.unmodifiableMap(copy);
    }

    private static void check(String name) {
        if (name == null || name.isEmpty() || name.length() > LONGEST_NAME) {
            throw new IllegalArgumentException("a name is empty or too long");
        }
    }

    /** Its size in CBOR, in bytes, within some; what bounds a datagram. */
    public int estimatedBytes() {
        int bytes = HEAD_BYTES + instance.length();
        for (Map.Entry<String, Map<String, Double>> subject : subjects.entrySet()) {
            bytes += SUBJECT_BYTES + subject.getKey().length();
            for (String key : subject.getValue().keySet()) {
                bytes += FIGURE_BYTES + key.length();
            }
        }
        return bytes;
    }

    /** Whether this one replaces the other, which is of the same instance. */
    public boolean replaces(InstanceState other) {
        return epoch != other.epoch ? epoch > other.epoch : version > other.version;
    }

    /** The same, said so many milliseconds ago. */
    public InstanceState aged(double to) {
        return new InstanceState(instance, epoch, version, to, subjects);
    }
}
