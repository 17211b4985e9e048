package io.hornbeamscale.core.schedule;

/**
 * Limits the number of running requests so that the time between tokens stays near its target. Half of the maximum is
 * always allowed, since a smaller batch hardly shortens the steps of an engine that is slow for other reasons.
 */
final class BatchLimit {
    private static final long ADJUST_PERIOD_MILLIS = 200;
    private static final double DECREASE_THRESHOLD = 0.97;
    private static final double INCREASE_THRESHOLD = 0.9;
    private static final int STEP_REQUESTS = 2;

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
        if (targetMillis == 0 || nowMillis - adjustedMillis < ADJUST_PERIOD_MILLIS) {
            return;
        }
        adjustedMillis = nowMillis;
        if (gapMillis > DECREASE_THRESHOLD * targetMillis) {
            limit = Math.max((max + 1) / 2, Math.min(limit, running - STEP_REQUESTS));
        } else if (gapMillis < INCREASE_THRESHOLD * targetMillis) {
            limit = Math.min(max, limit + STEP_REQUESTS);
        }
    }

    int limit() {
        return limit;
    }
}
