package kelphollow.site;

/**
 * Identifies one sending of an unsafe request, for good. What is sent again gets a new one.
 *
 * @param site the site of the gateway that sends it
 * @param epoch the number of that gateway's incarnation
 * @param number grows by one with each and is never used twice within the incarnation
 */
public record Identity(String site, long epoch, long number) implements Comparable<Identity> {
    private static final char SEPARATOR = '/';

    @Override public int compareTo(Identity other) {
        int bySite = site.compareTo(other.site);
        if (bySite != 0) {
            return bySite;
        }
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }

    /** {@code SITE/EPOCH/NUMBER}, as keys of records and log lines have it. */
    @Override public String toString() {
        return site + SEPARATOR + epoch + SEPARATOR + number;
    }

    /** Reads what {@link #toString} returns; null if the text is none. */
    public static Identity parse(String text) {
        int second = text.lastIndexOf(SEPARATOR);
        int first = second < 1 ? -1 : text.lastIndexOf(SEPARATOR, second - 1);
        if (first < 1) {
            return null;
        }
        try {
            return new Identity(text.substring(0, first), Long.parseLong(text.substring(first + 1, second)),
                Long.parseLong(text.substring(second + 1)));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
