package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.estimate.LengthDistribution;
import io.hornbeamscale.core.estimate.LengthModel;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.work.WorkItem;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A length model that knows the true length of every response of a simulation. */
final class OracleLengthModel implements LengthModel {
    private final Map<RequestId, Integer> lengths = new HashMap<>();
    private final double mean;

    OracleLengthModel(List<RequestSpec> trace) {
        trace.forEach(s -> lengths.put(s.work().request(), s.outputTokens()));
        mean = trace.stream().mapToInt(RequestSpec::outputTokens).average().orElse(1);
    }

    @Override
    public LengthDistribution distribution(WorkItem work) {
        return new KnownLength(lengths.get(work.request()));
    }

    @Override
    public double serviceMean(WorkItem work) {
        return mean;
    }

    @Override
    public void observe(WorkItem work, int outputTokens) {
        // All lengths are known from the start.
    }

    private record KnownLength(int length) implements LengthDistribution {
        @Override
        public double survival(int tokens) {
            return tokens < length ? 1 : 0;
        }

        @Override
        public double mean() {
            return length;
        }
    }
}
