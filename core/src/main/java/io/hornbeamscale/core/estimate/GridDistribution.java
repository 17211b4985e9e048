package io.hornbeamscale.core.estimate;

/** A distribution on a geometric grid with linear interpolation between the edges. */
final class GridDistribution implements LengthDistribution {
    /** Probability of a length above each edge. */
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
     * Returns a distribution with a heavy tail, so that the expected remainder grows with the tokens emitted.
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

    /** Returns the mixture of observed values and a distribution that has the given weight in values. */
    static GridDistribution mix(DecayedSketch own, GridDistribution parent, double parentWeight) {
        double[] buckets = own.gridWeights();
        double total = own.weight() + parentWeight;
        double[] above = new double[LengthGrid.SIZE + 1];
        double rest = 0;
        for (int i = LengthGrid.SIZE; i >= 0; i--) {
            if (i < LengthGrid.SIZE) {
                rest += buckets[i];
            }
            above[i] = (rest + parentWeight * parent.above[i]) / total;
        }
        return new GridDistribution(above);
    }

    @Override
    public double survival(int tokens) {
        int i = LengthGrid.index(tokens);
        double low = LengthGrid.edge(i);
        double part = Math.min(1, Math.max(0, (tokens - low) / (LengthGrid.edge(i + 1) - low)));
        return above[i] + part * (above[i + 1] - above[i]);
    }

    @Override
    public double mean() {
        return mean;
    }
}
