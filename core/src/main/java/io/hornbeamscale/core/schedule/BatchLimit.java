package io.hornbeamscale.core.schedule;

/**
 * Limits the running requests so that the time between tokens stays near its target. Half of the engine's bound is
 * always allowed, since a smaller batch hardly shortens the steps of an engine that is slow for other reasons.
 */
final class BatchLimit {
    private static final long PERIOD_MILLIS = 200;
    private static final double UPPER = 0.97;
    private static final double LOWER = 0.9;
    private static final int STEP = 2;

    private final double targetMillis;
    private final int max;
    private int limit;
    private long adjustedMillis;

    BatchLimit(double targetMillis, int max) {
        this.targetMillis = targetMillis;
        this.max = max;
        this.limit = max;
    }

    void adjust(double gapMillis, int running, long nowMillis) {
        if (targetMillis == 0 || nowMillis - adjustedMillis < PERIOD_MILLIS) {
            return;
        }
        adjustedMillis = nowMillis;
        if (gapMillis > UPPER * targetMillis) {
            limit = Math.max((max + 1) / 2, Math.min(limit, running - STEP));
        } else if (gapMillis < LOWER * targetMillis) {
            limit = Math.min(max, limit + STEP);
        }
    }

    int limit() {
        return limit;
    }
}
