package io.hornbeamscale.core.estimate;

/** A distribution on a geometric grid with linear interpolation between the edges. */
final class GridCurve implements LengthDistribution {
    /** Probability of a length above each edge. */
    private final double[] above;

    private final double mean;

    private GridCurve(double[] above) {
        this.above = above;
        double sum = 0;
        for (int i = 0; i < Grid.SIZE; i++) {
            sum += (Grid.edge(i + 1) - Grid.edge(i)) * (above[i] + above[i + 1]) / 2;
        }
        this.mean = sum;
    }

    /**
     * Returns a distribution with a heavy tail, so that the expected remainder grows with the tokens emitted.
     *
     * @param mean the mean in tokens
     */
    static GridCurve prior(double mean) {
        double[] above = new double[Grid.SIZE + 1];
        for (int i = 0; i <= Grid.SIZE; i++) {
            double x = 1 + Grid.edge(i) / mean;
            above[i] = 1 / (x * x);
        }
        return new GridCurve(above);
    }

    /** Returns the mixture of observed values and a distribution that has the given weight in values. */
    static GridCurve mix(DecayedSketch own, GridCurve parent, double parentWeight) {
        double[] buckets = own.onGrid();
        double total = own.weight() + parentWeight;
        double[] above = new double[Grid.SIZE + 1];
        double rest = 0;
        for (int i = Grid.SIZE; i >= 0; i--) {
            if (i < Grid.SIZE) {
                rest += buckets[i];
            }
            above[i] = (rest + parentWeight * parent.above[i]) / total;
        }
        return new GridCurve(above);
    }

    @Override
    public double survival(int tokens) {
        int i = Grid.index(tokens);
        double low = Grid.edge(i);
        double part = Math.min(1, Math.max(0, (tokens - low) / (Grid.edge(i + 1) - low)));
        return above[i] + part * (above[i + 1] - above[i]);
    }

    @Override
    public double mean() {
        return mean;
    }
}
