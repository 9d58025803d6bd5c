package kelphollow.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Compares the traffic of simulated instances with that of real ones in the same run: instances that send too little would
 * understate the cost of a large fleet. Exchanges are rare and randomly timed, so their size is compared, not their number.
 * Stateless.
 */
final class FidelityCheck {
    /** Largest relative difference allowed between a simulated and a real instance. */
    static final double TOLERANCE = 0.1;
    /** With fewer datagrams from real instances nothing is compared, because gossip is bursty. */
    static final long MIN_DATAGRAMS = 1_000;
    /** Once real instances made this many exchanges, simulated ones that made none fail the check. */
    static final long MIN_EXCHANGES = 10;

    private FidelityCheck() {}

    /**
     * Returns the ratio of simulated to real by figure. The size of exchanges is included if both made some, or if the real
     * ones made at least {@link #MIN_EXCHANGES}.
     */
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

    /** Adds a failure for each ratio beyond {@link #TOLERANCE}, if real instances sent enough datagrams to compare. */
    static void verify(Map<String, Object> ratios, long realDatagrams, List<String> failures) {
        if (realDatagrams < MIN_DATAGRAMS) {
            return;
        }
        ratios.forEach((figure, ratio) -> {
            if (Math.abs((double) ratio - 1) > TOLERANCE) {
                failures.add(String.format(Locale.ROOT,
                    "likeness: %s of a simulated instance is %.2f times that of a real one",
                    figure, (double) ratio));
            }
        });
    }
}
