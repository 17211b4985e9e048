package io.hornbeamscale.measure.capacity;

import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * A straight line through figures that were measured at several sizes.
 *
 * @param name what was measured, not blank
 * @param unit the unit of a figure, not blank
 * @param sizes the sizes, at least two
 * @param figures the figure at each size
 * @param base the figure at size 0, by least squares
 * @param perUnit the growth with each unit of size, by least squares
 */
public record Slope(String name, String unit, List<Integer> sizes, List<Double> figures, double base, double perUnit) {
    /** Checks and copies the parts. */
    public Slope {
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
     * @throws IllegalArgumentException if the lists differ in length or hold fewer than two sizes
     */
    public static Slope fit(String name, String unit, List<Integer> sizes, List<Double> figures) {
        if (sizes.size() != figures.size() || sizes.size() < 2) {
            throw new IllegalArgumentException("sizes and figures must have the same length, at least 2");
        }
        double meanSize = sizes.stream().mapToInt(n -> n).average().orElseThrow();
        double meanFigure = figures.stream().mapToDouble(f -> f).average().orElseThrow();
        double both = 0;
        double square = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double offset = sizes.get(i) - meanSize;
            both += offset * (figures.get(i) - meanFigure);
            square += offset * offset;
        }
        if (square == 0) {
            throw new IllegalArgumentException("sizes must differ: " + sizes);
        }
        double perUnit = both / square;
        return new Slope(name, unit, sizes, figures, meanFigure - perUnit * meanSize, perUnit);
    }

    /**
     * Returns the figure that the line gives for a size.
     *
     * @param size the size
     * @return the figure in the unit of the line
     */
    public double at(double size) {
        return base + perUnit * size;
    }
}
