package kelphollow.capacity;

import java.util.Locale;

/**
 * The line {@code slope x size + base} fitted to measured points by ordinary least squares, with its error, so that no
 * slope is quoted without the distance of the measured points from it.
 */
public record LineFit(double slope, double base, double rootMeanSquare, double rSquared) {
    /** Fits a line; throws {@link IllegalArgumentException} unless two sizes differ and each size has a value. */
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
            throw new IllegalArgumentException("a line fit needs two different sizes and one value per size");
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

    /** Returns the value of the line at this size. */
    public double at(double size) {
        return slope * size + base;
    }

    /** Returns one line of Markdown with the fitted quantity, the line and its error, in the unit of the values. */
    public String text(String what, String sizeName, String unit) {
        return String.format(Locale.ROOT, "fit: %s = %.4g x %s + %.4g %s (RMS error %.3g %s, R2 %.4f)", what, slope,
            sizeName, base,
            unit, rootMeanSquare, unit, rSquared);
    }
}
