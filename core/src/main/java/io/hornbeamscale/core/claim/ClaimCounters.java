package io.hornbeamscale.core.claim;

/**
 * Counts of keyed calls.
 *
 * @param requested calls that asked for a claim
 * @param granted calls that received one
 * @param replayed calls that received an earlier result
 * @param unavailable calls refused because the store did not answer in time or a partition was full
 * @param lostResults results that were not recorded in the store
 */
public record ClaimCounters(long requested, long granted, long replayed, long unavailable, long lostResults) {
    /**
     * Returns the share of calls that were refused for want of the store.
     *
     * @return a share from 0 to 1
     */
    public double unavailableShare() {
        return requested == 0 ? 0 : (double) unavailable / requested;
    }
}
