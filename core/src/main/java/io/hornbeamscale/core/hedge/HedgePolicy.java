package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.util.Arguments;

/**
 * Whether and how much to hedge. The shares are of the requests within the window of the retry budget.
 *
 * @param share the hedges allowed per request over all services, from 0 to 1; 0 switches hedging off
 * @param serviceShare the hedges allowed per request of each service, from 0 to 1
 * @param customerShare the hedges allowed per request of each customer, from 0 to 1
 * @param quantile the share of the responses of a service that arrive before a request is hedged, from 0.5 to 0.99
 */
public record HedgePolicy(double share, double serviceShare, double customerShare, double quantile) {
    /** The default share over all services; a tenth of the retry budget of the users' platform. */
    public static final double DEFAULT_SHARE = 0.02;

    /** The default quantile: 5 of 100 requests wait long enough, more than a usual share lets be hedged. */
    public static final double DEFAULT_QUANTILE = 0.95;

    /** No hedging. */
    public static final HedgePolicy OFF = new HedgePolicy(0, 0, 0, DEFAULT_QUANTILE);

    /**
     * The default share of a service or customer, relative to the share over all services. A single one may use what
     * others leave, but not all of it.
     */
    private static final double DEFAULT_SINGLE_FACTOR = 2;

    private static final double MIN_QUANTILE = 0.5;

    /** Higher quantiles need more samples than a service of an entry has while they are recent. */
    private static final double MAX_QUANTILE = 0.99;

    /** Checks the parts. */
    public HedgePolicy {
        Arguments.inRange(share, 0, 1, "share");
        Arguments.inRange(serviceShare, 0, 1, "serviceShare");
        Arguments.inRange(customerShare, 0, 1, "customerShare");
        Arguments.inRange(quantile, MIN_QUANTILE, MAX_QUANTILE, "quantile");
    }

    /**
     * Returns a policy with default values for all but the share over all services.
     *
     * @param share the hedges allowed per request over all services, from 0 to 1; 0 switches hedging off
     * @return the policy, never null
     */
    public static HedgePolicy ofShare(double share) {
        double single = defaultSingleShare(share);
        return new HedgePolicy(share, single, single, DEFAULT_QUANTILE);
    }

    /**
     * Returns the default share of each service and each customer.
     *
     * @param share the share over all services, from 0 to 1
     * @return the share, from 0 to 1
     */
    public static double defaultSingleShare(double share) {
        return Math.min(1, DEFAULT_SINGLE_FACTOR * share);
    }

    /**
     * Returns whether requests may be hedged at all.
     *
     * @return whether the share over all services is not 0
     */
    public boolean isOn() {
        return share > 0;
    }
}
