package kelphollow.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Whether simulated instances send what real ones send in the same run: one that sends less would make size look cheap. How
 * often exchanges fall due is drawn at random and rare, so their size is compared and not their number. Stateless.
 */
final class FidelityCheck {
    /** A simulated instance's figures are within this share of a real one's. */
    static final double TOLERANCE = 0.1;
    /** With fewer datagrams of real instances the comparison is not made: gossip comes in bursts. */
    static final long MIN_DATAGRAMS = 1_000;
    /** From this many exchanges of real instances on, simulated ones that made none fail the check. */
    static final long MIN_EXCHANGES = 10;

    private FidelityCheck() {}

    /** Simulated divided by real, by figure; the size of exchanges only where both made any, or the real ones many. */
    static Map<String, Object> ratios(TrafficCount simulated, double simulatedSeconds, TrafficCount real,
        double realSeconds) {
        Map<String, Object> ratios = new LinkedHashMap<>();
        ratios.put("datagrams_per_second",
            ratio(simulated.datagramsOut() / simulatedSeconds, real.datagramsOut() / realSeconds));
        ratios.put("datagram_bytes_per_second",
            ratio(simulated.datagramBytesOut() / simulatedSeconds, real.datagramBytesOut() / realSeconds));
        if (real.exchangesOut() > 0 && (simulated.exchangesOut() > 0 || real.exchangesOut() >= MIN_EXCHANGES)) {
            ratios.put("bytes_an_exchange", ratio(simulated.bytesPerExchange(), real.bytesPerExchange()));
        }
        return ratios;
    }

    private static double ratio(double simulated, double real) {
        return real <= 0 ? 0 : Percentiles.rounded(simulated / real);
    }

    /** Adds the figures that differ, if the real instances sent enough to compare. */
    static void verify(Map<String, Object> ratios, long realDatagrams, List<String> failures) {
        if (realDatagrams < MIN_DATAGRAMS) {
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
