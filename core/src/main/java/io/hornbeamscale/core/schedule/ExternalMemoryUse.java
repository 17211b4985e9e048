package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.work.EngineLoad;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the memory used by work that did not pass through this agent: the reported use minus the agent's own use at
 * the time of the report. The estimate decays as the report ages.
 */
final class ExternalMemoryUse {
    private static final long HISTORY_MILLIS = 10_000;
    private static final double HALF_LIFE_MILLIS = 5_000;

    private final Deque<Sample> ownSamples = new ArrayDeque<>();
    /** The difference in tokens up to which requests in transit to or from the engine are the assumed cause. */
    private final double tolerance;

    private double tokens;
    private long measuredMillis;

    ExternalMemoryUse(long capacityTokens) {
        this.tolerance = capacityTokens * 0.02;
    }

    /** Records the agent's own use. */
    void recordOwnUse(long usedTokens, long nowMillis) {
        ownSamples.addLast(new Sample(nowMillis, usedTokens));
        while (ownSamples.size() > 1 && ownSamples.peekFirst().millis < nowMillis - HISTORY_MILLIS) {
            ownSamples.removeFirst();
        }
    }

    void report(EngineLoad load) {
        long used = 0;
        for (Sample s : ownSamples) {
            if (s.millis > load.measuredMillis()) {
                break;
            }
            used = s.usedTokens;
        }
        double difference = load.usedTokens() - (double) used;
        tokens = difference > tolerance ? difference : 0;
        measuredMillis = load.measuredMillis();
    }

    double tokens(long nowMillis) {
        double age = Math.max(0, nowMillis - measuredMillis);
        return tokens * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }

    private record Sample(long millis, long usedTokens) {}
}
