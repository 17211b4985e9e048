package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;

/** Limits retries and hedged attempts to a share of first attempts, so that failures cannot multiply the load. */
public final class RetryBudget {
    /** The maximum number of saved retries. Without them, the share alone would refuse a retry of the first failure. */
    private static final double BURST_RETRIES = 10;

    private final double share;
    private double balance = BURST_RETRIES;

    /**
     * Creates a full budget.
     *
     * @param percent the share of first attempts in percent, from 0 to 100; 0 allows no retry at all
     */
    public RetryBudget(int percent) {
        this.share = Arguments.inRange(percent, 0, 100, "percent") / 100;
    }

    /** Records a first attempt, which adds the share to the budget. */
    public void firstAttempt() {
        balance = Math.min(BURST_RETRIES, balance + share);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return whether the retry is allowed
     */
    public boolean tryRetry() {
        if (share == 0 || balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
