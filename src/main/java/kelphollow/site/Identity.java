package kelphollow.site;

/**
 * Names one sending of an unsafe request, for good: the site and the life (epoch) of the gateway that sends it, and a
 * number that grows by one with each and is never used twice in that life. What is sent again gets a new one.
 */
public record Identity(String site, long epoch, long number) implements Comparable<Identity> {
    @Override public int compareTo(Identity other) {
        int c = site.compareTo(other.site);
        c = c != 0 ? c : Long.compare(epoch, other.epoch);
        return c != 0 ? c : Long.compare(number, other.number);
    }

    /** {@code site/epoch/number}, as keys of records and log lines have it. */
    @Override public String toString() {
        return site + '/' + epoch + '/' + number;
    }

    /** Reads what {@link #toString} gives; null if it is none. */
    public static Identity parse(String text) {
        int second = text.lastIndexOf('/'), first = second < 1 ? -1 : text.lastIndexOf('/', second - 1);
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
