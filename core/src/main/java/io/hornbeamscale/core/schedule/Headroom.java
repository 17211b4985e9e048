package io.hornbeamscale.core.schedule;

/**
 * The safety margin above the expected peak of memory use, in standard deviations. It grows with each preemption and
 * shrinks while there are none, so that it settles at a level where preemptions are rare.
 */
final class Headroom {
    private static final double MIN_DEVIATIONS = 1;
    private static final double MAX_DEVIATIONS = 4;
    private static final double INITIAL_DEVIATIONS = 2.0;
    private static final double GROWTH_PER_PREEMPTION = 0.2;
    private static final double SHRINK_PER_SECOND = 0.01;

    private double deviations = INITIAL_DEVIATIONS;
    private long lastMillis;

    void preempted() {
        deviations = Math.min(MAX_DEVIATIONS, deviations + GROWTH_PER_PREEMPTION);
    }

    void tick(long nowMillis) {
        double seconds = Math.max(0, nowMillis - lastMillis) / 1e3;
        deviations = Math.max(MIN_DEVIATIONS, deviations - SHRINK_PER_SECOND * seconds);
        lastMillis = nowMillis;
    }

    double deviations() {
        return deviations;
    }
}
