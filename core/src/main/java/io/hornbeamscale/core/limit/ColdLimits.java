package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;

/**
 * How many requests a cold server may get in any second from all entries: the rate that its service states, times a
 * factor, plus a constant.
 *
 * @param overage the factor, not negative
 * @param slack the constant, in requests, not negative
 */
public record ColdLimits(double overage, double slack) {
    /** The limits if the settings name none. */
    public static final ColdLimits DEFAULT = new ColdLimits(1.5, 5);

    /** The least rate that is used, in requests per second, so that a cold server is not left idle for good. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** Checks the parts. */
    public ColdLimits {
        Arguments.inRange(overage, 0, Double.MAX_VALUE, "overage");
        Arguments.inRange(slack, 0, Double.MAX_VALUE, "slack");
    }

    /**
     * Returns the rate that the entries divide, so that no second exceeds the limit. One second holds the sum of the
     * shares and one more request of each entry that shares the rate.
     *
     * @param requestsPerSecond the rate that the service states, 0 if a cold server bears any rate
     * @return the rate, at most the stated one; 0 if a cold server bears any rate
     */
    public double sendRate(double requestsPerSecond) {
        if (requestsPerSecond <= 0) {
            return 0;
        }
        double limit = overage * requestsPerSecond + slack;
        double perRate = RateShares.SHARES_SUM + ColdServerRates.SHARERS_PER_REQUEST_PER_SECOND;
        double bounded = (limit - RateShares.EXTRA_SHARERS) / perRate;
        return Math.max(MIN_REQUESTS_PER_SECOND, Math.min(requestsPerSecond, bounded));
    }
}
