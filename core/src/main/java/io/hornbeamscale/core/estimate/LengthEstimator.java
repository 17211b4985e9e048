package io.hornbeamscale.core.estimate;

import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.WorkItem;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns output lengths by service and model, then kind of work, then customer. A class with few values leans on the
 * class above it; the topmost leans on a prior with a heavy tail. Not safe for use by several threads.
 */
public final class LengthEstimator implements LengthModel {
    private static final int WINDOW = 1_000;
    /** The weight of the class above, in values. */
    private static final double PARENT_WEIGHT = 10;

    private static final int MAX_CLASSES = 4_096;

    private final GridCurve prior;
    private final Map<Key, Learned> classes = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Learned> eldest) {
            return size() > MAX_CLASSES;
        }
    };

    /**
     * Creates an estimator that has learned nothing.
     *
     * @param typicalTokens the mean length to assume at first, greater than 0
     */
    public LengthEstimator(int typicalTokens) {
        this.prior = GridCurve.prior((double) Arguments.positive(typicalTokens, "typicalTokens"));
    }

    @Override
    public LengthDistribution distribution(WorkItem work) {
        GridCurve service = at(Key.service(work)).curve(prior, 1);
        GridCurve kind = at(Key.kind(work)).curve(service, PARENT_WEIGHT);
        return at(Key.customer(work)).curve(kind, PARENT_WEIGHT);
    }

    @Override
    public double serviceMean(WorkItem work) {
        return at(Key.service(work)).curve(prior, 1).mean();
    }

    @Override
    public void observe(WorkItem work, int outputTokens) {
        at(Key.service(work)).add(outputTokens);
        at(Key.kind(work)).add(outputTokens);
        at(Key.customer(work)).add(outputTokens);
    }

    private Learned at(Key key) {
        return classes.computeIfAbsent(key, k -> new Learned());
    }

    private record Key(String service, String model, String kind, String customer) {
        static Key service(WorkItem w) {
            return new Key(w.service().value(), w.model(), "", "");
        }

        static Key kind(WorkItem w) {
            return new Key(w.service().value(), w.model(), w.kind(), "");
        }

        static Key customer(WorkItem w) {
            return new Key(
                    w.service().value(), w.model(), w.kind(), w.customer().value());
        }
    }

    /** The values of one class and the curve that was last computed from them. */
    private static final class Learned {
        private final DecayedSketch sketch = new DecayedSketch(WINDOW);
        private GridCurve curve;
        private GridCurve usedParent;
        private int unused;

        void add(int tokens) {
            sketch.record(tokens);
            unused++;
        }

        /** Computes the curve again after a tenth of new values, as a single value hardly moves it. */
        GridCurve curve(GridCurve parent, double parentWeight) {
            boolean isStale = curve == null || unused * 10 > sketch.weight();
            if (isStale || (usedParent != parent && sketch.weight() < WINDOW / 10.0)) {
                curve = GridCurve.mix(sketch, parent, parentWeight);
                usedParent = parent;
                unused = 0;
            }
            return curve;
        }
    }
}
