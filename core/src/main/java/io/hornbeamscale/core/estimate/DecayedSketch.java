package io.hornbeamscale.core.estimate;

import io.hornbeamscale.core.util.Arguments;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** A quantile sketch in which old values decay: all counts are halved each time the window is full. */
public final class DecayedSketch {
    /** The count that is recorded per value, so that halving keeps fractions of a value. */
    private static final int COUNTS_PER_VALUE = 256;

    private static final int MAX_VALUE = 1 << 20;
    private static final int SIGNIFICANT_DIGITS = 1;

    private final int window;
    private Histogram counts = new Histogram(MAX_VALUE, SIGNIFICANT_DIGITS);

    /**
     * Creates an empty sketch.
     *
     * @param window the weight at which all counts are halved, in values, greater than 0
     */
    public DecayedSketch(int window) {
        this.window = (int) Arguments.positive(window, "window");
    }

    /**
     * Adds a value.
     *
     * @param value the value; it is limited to the range from 0 to 1,048,576
     */
    public void record(long value) {
        counts.recordValueWithCount(Math.max(0, Math.min(MAX_VALUE, value)), COUNTS_PER_VALUE);
        if (weight() >= window) {
            halve();
        }
    }

    /** Halves the weight of all values, which lets the caller add a decay by time. */
    public void halve() {
        Histogram halved = new Histogram(MAX_VALUE, SIGNIFICANT_DIGITS);
        for (HistogramIterationValue v : counts.recordedValues()) {
            long count = v.getCountAtValueIteratedTo() / 2;
            if (count > 0) {
                halved.recordValueWithCount(v.getValueIteratedTo(), count);
            }
        }
        counts = halved;
    }

    /**
     * Returns the weight of all values.
     *
     * @return the weight in values
     */
    public double weight() {
        return (double) counts.getTotalCount() / COUNTS_PER_VALUE;
    }

    /**
     * Returns a quantile.
     *
     * @param share the share of values that are less than or equal to the quantile, from 0 to 1
     * @return the quantile, 0 if the sketch is empty
     */
    public long quantile(double share) {
        return weight() == 0 ? 0 : counts.getValueAtPercentile(100 * share);
    }

    /** Returns the weight of the values in each bucket of the grid, never null. */
    double[] gridWeights() {
        double[] buckets = new double[LengthGrid.SIZE];
        for (HistogramIterationValue v : counts.recordedValues()) {
            long middle = counts.medianEquivalentValue(v.getValueIteratedTo());
            buckets[LengthGrid.index(middle)] += (double) v.getCountAtValueIteratedTo() / COUNTS_PER_VALUE;
        }
        return buckets;
    }
}
