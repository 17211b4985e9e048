package io.hornbeamscale.core.estimate;

/** A histogram grid with geometrically growing buckets, eight per doubling of the value. */
final class LengthGrid {
    private static final int BUCKETS_PER_OCTAVE = 8;
    private static final int OCTAVES = 21;
    static final int SIZE = BUCKETS_PER_OCTAVE * OCTAVES;
    private static final double SCALE = BUCKETS_PER_OCTAVE / Math.log(2);
    private static final int TABLE_SIZE = 8_192;
    private static final short[] INDEX_BY_VALUE = new short[TABLE_SIZE];
    private static final double[] EDGES = new double[SIZE + 1];

    static {
        for (int i = 0; i <= SIZE; i++) {
            EDGES[i] = Math.pow(2, (double) i / BUCKETS_PER_OCTAVE) - 1;
        }
        for (int i = 0; i < TABLE_SIZE; i++) {
            INDEX_BY_VALUE[i] = (short) compute(i);
        }
    }

    private LengthGrid() {}

    private static int compute(long value) {
        return (int) Math.min(SIZE - 1, SCALE * Math.log(value + 1.0));
    }

    /** Returns the bucket that holds a value. */
    static int index(long value) {
        if (value < TABLE_SIZE) {
            return INDEX_BY_VALUE[(int) Math.max(0, value)];
        }
        return compute(value);
    }

    /** Returns the lower edge of a bucket. */
    static double edge(int index) {
        return EDGES[index];
    }
}
