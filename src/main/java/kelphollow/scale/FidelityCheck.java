package kelphollow.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Whether hollow instances send what real ones send in the same run: a hollow one that says less would make size look cheap.
 * How often exchanges fall due is drawn at random and rare, so their size is compared and not their number.
 */
final class FidelityCheck {
    /** A hollow instance's figures are within this share of a real one's. */
    static final double TOLERANCE = 0.1;
    /** Fewer datagrams of real instances than this tell nothing to within the tolerance: gossip comes in bursts. */
    static final long LEAST_DATAGRAMS = 1_000;

    /** From so many exchanges of real instances on, hollow ones that made none are not like them. */
    static final long LEAST_EXCHANGES = 10;

    private FidelityCheck() {}

    /** Hollow divided by real, by figure; the size of exchanges where both made any, or the real ones made many. */
    static Map<String, Object> ratios(TrafficCount hollow, double hollowSeconds, TrafficCount real, double realSeconds) {
        Map<String, Object> ratios = new LinkedHashMap<>();
        ratios.put("datagrams_per_second", ratio(hollow.datagramsOut() / hollowSeconds, real.datagramsOut() / realSeconds));
        ratios.put("datagram_bytes_per_second",
            ratio(hollow.datagramBytesOut() / hollowSeconds, real.datagramBytesOut() / realSeconds));
        if (real.exchangesOut() > 0 && (hollow.exchangesOut() > 0 || real.exchangesOut() >= LEAST_EXCHANGES)) {
            ratios.put("bytes_an_exchange", ratio(hollow.bytesAnExchange(), real.bytesAnExchange()));
        }
        return ratios;
    }

    private static double ratio(double hollow, double real) {
        return real <= 0 ? 0 : Percentiles.rounded(hollow / real);
    }

    /** Adds what is not alike, if the real instances sent enough to tell. */
    static void verify(Map<String, Object> ratios, long realDatagrams, List<String> failures) {
        if (realDatagrams < LEAST_DATAGRAMS) {
            return;
        }
        ratios.forEach((figure, ratio) -> {
            if (Math.abs((double) ratio - 1) > TOLERANCE) {
                failures.add(String.format(Locale.ROOT, "likeness: %s of a hollow instance is %.2f times a real one's",
                    figure, (double) ratio));
            }
        });
    }
}
