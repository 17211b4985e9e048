package io.hornbeamscale.core.estimate;

import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.WorkItem;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates output lengths in a hierarchy of classes: service and model, kind of work, customer. The estimate of a
 * class with few values is mixed with the estimate of its parent class; the top class is mixed with a prior
 * distribution with a heavy tail. Not safe for use by several threads.
 */
public final class LengthEstimator implements LengthModel {
    private static final int WINDOW_VALUES = 1_000;
    /** The weight of the estimate of the parent class, in values. */
    private static final double PARENT_WEIGHT_VALUES = 10;

    private static final int MAX_CLASSES = 4_096;

    private final GridDistribution prior;
    private final Map<Key, ClassEstimate> classes = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, ClassEstimate> eldest) {
            return size() > MAX_CLASSES;
        }
    };

    /**
     * Creates an estimator without observed values.
     *
     * @param typicalTokens the mean of the prior distribution in tokens, greater than 0
     */
    public LengthEstimator(int typicalTokens) {
        this.prior = GridDistribution.prior((double) Arguments.positive(typicalTokens, "typicalTokens"));
    }

    @Override
    public LengthDistribution distribution(WorkItem work) {
        GridDistribution service = estimate(Key.service(work)).distribution(prior, 1);
        GridDistribution kind = estimate(Key.kind(work)).distribution(service, PARENT_WEIGHT_VALUES);
        return estimate(Key.customer(work)).distribution(kind, PARENT_WEIGHT_VALUES);
    }

    @Override
    public double serviceMean(WorkItem work) {
        return estimate(Key.service(work)).distribution(prior, 1).mean();
    }

    @Override
    public void observe(WorkItem work, int outputTokens) {
        estimate(Key.service(work)).add(outputTokens);
        estimate(Key.kind(work)).add(outputTokens);
        estimate(Key.customer(work)).add(outputTokens);
    }

    private ClassEstimate estimate(Key key) {
        return classes.computeIfAbsent(key, k -> new ClassEstimate());
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

    /** The observed values of one class and the distribution that was last computed from them. */
    private static final class ClassEstimate {
        private final DecayedSketch sketch = new DecayedSketch(WINDOW_VALUES);
        private GridDistribution distribution;
        private GridDistribution lastParent;
        private int newValues;

        void add(int tokens) {
            sketch.record(tokens);
            newValues++;
        }

        /** Computes the distribution again only after a tenth of new values, since a single value hardly changes it. */
        GridDistribution distribution(GridDistribution parent, double parentWeight) {
            boolean isStale = distribution == null || newValues * 10 > sketch.weight();
            if (isStale || (lastParent != parent && sketch.weight() < WINDOW_VALUES / 10.0)) {
                distribution = GridDistribution.mix(sketch, parent, parentWeight);
                lastParent = parent;
                newValues = 0;
            }
            return distribution;
        }
    }
}
