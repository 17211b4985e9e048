package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.util.Arguments;

/**
 * Limits one node to its share of the weight store's load rate, as a token bucket. The rate is divided by the number of
 * nodes that may load, which each node knows from membership, so the sum stays within the rate without any call to the
 * key-value store.
 */
public final class WeightLoadLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double totalLoadsPerSecond;
    private int nodeCount = 1;
    private double tokens = 1;
    private long refilledMillis;

    /**
     * Creates a limiter that allows the whole rate until the number of nodes is set.
     *
     * @param totalLoadsPerSecond the rate of the weight store, in loads per second, greater than 0
     * @param nowMillis the present time
     */
    public WeightLoadLimiter(double totalLoadsPerSecond, long nowMillis) {
        this.totalLoadsPerSecond =
                Arguments.inRange(totalLoadsPerSecond, Double.MIN_VALUE, Double.MAX_VALUE, "totalLoadsPerSecond");
        this.refilledMillis = nowMillis;
    }

    /**
     * Sets the number of nodes that share the rate.
     *
     * @param count the number of nodes, at least 1
     * @param nowMillis the present time
     */
    public void setNodes(int count, long nowMillis) {
        Arguments.positive(count, "count");
        refill(nowMillis);
        nodeCount = count;
    }

    /**
     * Acquires the permit for one load. At most one unused permit is saved, so that nodes which were idle at the same
     * time exceed the rate by at most one load each.
     *
     * @param nowMillis the present time
     * @return whether the load is allowed
     */
    public boolean tryAcquire(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill(long nowMillis) {
        double seconds = Math.max(0, nowMillis - refilledMillis) / MILLIS_PER_SECOND;
        tokens = Math.min(1, tokens + seconds * totalLoadsPerSecond / nodeCount);
        refilledMillis = Math.max(refilledMillis, nowMillis);
    }
}
