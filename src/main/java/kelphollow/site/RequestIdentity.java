package kelphollow.site;

/**
 * Unique identity of one transmission of an unsafe request. A request that is sent again gets a new identity.
 *
 * @param site the site of the sending gateway
 * @param epoch the epoch of that gateway's incarnation
 * @param number increases by one with each request and is never reused within the incarnation
 */
public record RequestIdentity(String site, long epoch, long number) implements Comparable<RequestIdentity> {
    private static final char SEPARATOR = '/';

    @Override public int compareTo(RequestIdentity other) {
        int bySite = site.compareTo(other.site);
        if (bySite != 0) {
            return bySite;
        }
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }

    /** Returns {@code SITE/EPOCH/NUMBER}, the form in record keys and log lines. */
    @Override public String toString() {
        return site + SEPARATOR + epoch + SEPARATOR + number;
    }

    /** Parses the form that {@link #toString} returns; returns null if the text is invalid. */
    public static RequestIdentity parse(String text) {
        int second = text.lastIndexOf(SEPARATOR);
        int first = second < 1 ? -1 : text.lastIndexOf(SEPARATOR, second - 1);
        if (first < 1) {
            return null;
        }
        try {
            return new RequestIdentity(text.substring(0, first), Long.parseLong(text.substring(first + 1, second)),
                Long.parseLong(text.substring(second + 1)));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
