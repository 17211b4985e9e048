package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.util.Arguments;

/**
 * One node's share of the weight store's rate. The rate is divided by the number of nodes that may load, which each
 * node knows from membership, so the sum stays within the rate without any call to the key-value store.
 */
public final class WeightLoadLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double totalPerSecond;
    private int nodeCount = 1;
    private double tokens = 1;
    private long filledMillis;

    /**
     * Creates a share that holds the whole rate until the number of nodes is known.
     *
     * @param totalPerSecond the rate of the weight store, in loads per second, greater than 0
     * @param nowMillis the present time
     */
    public WeightLoadLimiter(double totalPerSecond, long nowMillis) {
        this.totalPerSecond = Arguments.inRange(totalPerSecond, Double.MIN_VALUE, Double.MAX_VALUE, "totalPerSecond");
        this.filledMillis = nowMillis;
    }

    /**
     * Sets the number of nodes that share the rate.
     *
     * @param count the number of nodes, at least 1
     * @param nowMillis the present time
     */
    public void setNodes(int count, long nowMillis) {
        Arguments.positive(count, "count");
        fill(nowMillis);
        nodeCount = count;
    }

    /**
     * Takes the right to one load. At most one unused load is saved up, so that nodes which were idle together do not
     * exceed the rate together by more than one load each.
     *
     * @param nowMillis the present time
     * @return whether the load is allowed
     */
    public boolean tryAcquire(long nowMillis) {
        fill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void fill(long nowMillis) {
        double seconds = Math.max(0, nowMillis - filledMillis) / MILLIS_PER_SECOND;
        tokens = Math.min(1, tokens + seconds * totalPerSecond / nodeCount);
        filledMillis = Math.max(filledMillis, nowMillis);
    }
}
