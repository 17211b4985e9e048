package io.hornbeamscale.core.estimate;

/** A length distribution on a geometric grid with linear interpolation between the bucket edges. */
final class GridDistribution implements LengthDistribution {
    /** The probability of a length above each bucket edge. */
    private final double[] above;

    private final double mean;

    private GridDistribution(double[] above) {
        this.above = above;
        double sum = 0;
        for (int i = 0; i < LengthGrid.SIZE; i++) {
            sum += (LengthGrid.edge(i + 1) - LengthGrid.edge(i)) * (above[i] + above[i + 1]) / 2;
        }
        this.mean = sum;
    }

    /**
     * Returns a distribution with a heavy tail, so that the expected remainder grows with the number of emitted tokens.
     *
     * @param mean the mean in tokens
     */
    static GridDistribution prior(double mean) {
        double[] above = new double[LengthGrid.SIZE + 1];
        for (int i = 0; i <= LengthGrid.SIZE; i++) {
            double x = 1 + LengthGrid.edge(i) / mean;
            above[i] = 1 / (x * x);
        }
        return new GridDistribution(above);
    }

    /** Returns the mixture of observed values and a parent distribution with the given weight in values. */
    static GridDistribution mix(DecayedSketch observed, GridDistribution parent, double parentWeight) {
        double[] buckets = observed.gridWeights();
        double total = observed.weight() + parentWeight;
        double[] above = new double[LengthGrid.SIZE + 1];
        double weightAbove = 0;
        for (int i = LengthGrid.SIZE; i >= 0; i--) {
            if (i < LengthGrid.SIZE) {
                weightAbove += buckets[i];
            }
            above[i] = (weightAbove + parentWeight * parent.above[i]) / total;
        }
        return new GridDistribution(above);
    }

    @Override
    public double survival(int tokens) {
        int i = LengthGrid.index(tokens);
        double low = LengthGrid.edge(i);
        double fraction = Math.min(1, Math.max(0, (tokens - low) / (LengthGrid.edge(i + 1) - low)));
        return above[i] + fraction * (above[i + 1] - above[i]);
    }

    @Override
    public double mean() {
        return mean;
    }
}
