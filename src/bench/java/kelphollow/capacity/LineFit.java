package kelphollow.capacity;

import java.util.Locale;

/**
 * The line {@code slope x size + base} through measured points by ordinary least squares, with its error. Guards against a
 * slope that is quoted without saying how far the measured points lie from it.
 */
public record LineFit(double slope, double base, double rootMeanSquare, double rSquared) {
    /** At least two different sizes; throws {@link IllegalArgumentException} otherwise. */
    public static LineFit through(double[] sizes, double[] values) {
        int count = sizes.length;
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double covariance = 0;
        double variance = 0;
        double total = 0;
        double residual = 0;
        for (int i = 0; i < count; i++) {
            covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
            variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
            total += (values[i] - meanValue) * (values[i] - meanValue);
        }
        if (!(variance > 0) || values.length != count) {
            throw new IllegalArgumentException("a line needs two different sizes with a value each");
        }
        double slope = covariance / variance;
        double base = meanValue - slope * meanSize;
        for (int i = 0; i < count; i++) {
            residual += Math.pow(values[i] - slope * sizes[i] - base, 2);
        }
        return new LineFit(slope, base, Math.sqrt(residual / count), total > 0 ? 1 - residual / total : 1);
    }

    private static double mean(double[] of) {
        double sum = 0;
        for (double value : of) {
            sum += value;
        }
        return sum / of.length;
    }

    /** The value on the line at this size. */
    public double at(double size) {
        return slope * size + base;
    }

    /** One line of Markdown: what was fitted, the line and its error, in the unit of the values. */
    public String text(String what, String sizeName, String unit) {
        return String.format(Locale.ROOT, "fit: %s = %.4g x %s + %.4g %s (RMS error %.3g %s, R2 %.4f)", what, slope,
            sizeName, base,
            unit, rootMeanSquare, unit, rSquared);
    }
}
