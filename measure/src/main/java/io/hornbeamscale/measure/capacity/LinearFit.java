package io.hornbeamscale.measure.capacity;

import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * A straight line fitted by least squares to figures measured at several sizes.
 *
 * @param name what was measured, not blank
 * @param unit the unit of a figure, not blank
 * @param sizes the sizes, at least two
 * @param figures the figure at each size
 * @param intercept the value of the line at size 0
 * @param slope the growth of the line per unit of size
 */
public record LinearFit(
        String name, String unit, List<Integer> sizes, List<Double> figures, double intercept, double slope) {
    /** Checks the texts and copies the lists. */
    public LinearFit {
        Arguments.notBlank(name, "name");
        Arguments.notBlank(unit, "unit");
        sizes = List.copyOf(sizes);
        figures = List.copyOf(figures);
    }

    /**
     * Fits a line by least squares.
     *
     * @param name what was measured, not blank
     * @param unit the unit of a figure, not blank
     * @param sizes the sizes, at least two and not all equal
     * @param figures the figure at each size
     * @return the line, never null
     * @throws IllegalArgumentException if the lists differ in length, hold fewer than two sizes or all sizes are equal
     */
    public static LinearFit fit(String name, String unit, List<Integer> sizes, List<Double> figures) {
        if (sizes.size() != figures.size() || sizes.size() < 2) {
            throw new IllegalArgumentException("sizes and figures must have the same length, at least 2");
        }
        double meanSize = sizes.stream().mapToInt(n -> n).average().orElseThrow();
        double meanFigure = figures.stream().mapToDouble(f -> f).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double deviation = sizes.get(i) - meanSize;
            covariance += deviation * (figures.get(i) - meanFigure);
            variance += deviation * deviation;
        }
        if (variance == 0) {
            throw new IllegalArgumentException("sizes must differ: " + sizes);
        }
        double perUnit = covariance / variance;
        return new LinearFit(name, unit, sizes, figures, meanFigure - perUnit * meanSize, perUnit);
    }

    /**
     * Returns the value of the line at a size.
     *
     * @param size the size
     * @return the value in the unit of the figures
     */
    public double valueAt(double size) {
        return intercept + slope * size;
    }
}
