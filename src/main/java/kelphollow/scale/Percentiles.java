package kelphollow.scale;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Summarizes a histogram for a report. Stateless. */
final class Percentiles {
    private Percentiles() {}

    /** Count, and minimum, mean, p1, p50, p99 and maximum multiplied by {@code unit}; zeros for an empty histogram. */
    static Map<String, Object> of(Histogram values, double unit) {
        boolean any = values.getTotalCount() > 0;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("p50", any ? rounded(values.getValueAtPercentile(50) * unit) : 0.0);
        figures.put("p99", any ? rounded(values.getValueAtPercentile(99) * unit) : 0.0);
        figures.put("max", any ? rounded(values.getMaxValue() * unit) : 0.0);
        figures.put("mean", any ? rounded(values.getMean() * unit) : 0.0);
        figures.put("p1", any ? rounded(values.getValueAtPercentile(1) * unit) : 0.0);
        figures.put("min", any ? rounded(values.getMinValue() * unit) : 0.0);
        figures.put("count", values.getTotalCount());
        return figures;
    }

    /** Rounded to four decimal places. */
    static double rounded(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
