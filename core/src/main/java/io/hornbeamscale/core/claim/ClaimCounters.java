package io.hornbeamscale.core.claim;

/**
 * Counts of calls with an idempotency key that need a claim.
 *
 * @param requested calls that requested a claim
 * @param granted calls that received a claim
 * @param replayed calls that received an earlier result
 * @param unavailable calls refused because the store did not answer in time or a partition was full
 * @param lostResults results that were not recorded in the store
 */
public record ClaimCounters(long requested, long granted, long replayed, long unavailable, long lostResults) {
    /**
     * Returns the share of calls that were refused because the store was unavailable or a partition was full.
     *
     * @return the share, from 0 to 1; 0 before the first call
     */
    public double unavailableShare() {
        return requested == 0 ? 0 : (double) unavailable / requested;
    }
}
