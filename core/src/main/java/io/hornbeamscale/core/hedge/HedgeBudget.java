package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.limit.SlidingCounts;
import io.hornbeamscale.core.limit.WindowedRetryBudget;
import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits hedges to a share of the requests over all services, of each service and of each customer, within the window
 * of the retry budget. Each hedge also counts as a retry. Every entry counts only its own requests, so that the sum
 * over all entries stays within the shares without coordination. Not safe for use by several threads.
 */
public final class HedgeBudget {
    /**
     * The share of the retry budget that hedges may use up together with retries. The rest is kept for retries, without
     * which a request fails, while a request without a hedge is only slow.
     */
    static final double USABLE_RETRY_SHARE = 0.5;

    private final WindowedRetryBudget retries;
    private final Map<String, SlidingCounts> services = new HashMap<>();
    private final Map<String, SlidingCounts> customers = new HashMap<>();
    private SlidingCounts all;
    private HedgePolicy policy;
    private long windowMillis;

    /**
     * Creates a budget.
     *
     * @param retries the budget that hedges share with retries, not null; the caller records the requests there
     * @param policy the shares, not null
     * @param windowMillis the length of the window, in milliseconds, greater than 0
     */
    public HedgeBudget(WindowedRetryBudget retries, HedgePolicy policy, long windowMillis) {
        this.retries = Arguments.notNull(retries, "retries");
        setLimits(policy, windowMillis);
    }

    /**
     * Replaces the limits. If the length of the window changes, all counts are reset.
     *
     * @param newPolicy the shares, not null
     * @param newWindowMillis the length of the window, in milliseconds, greater than 0
     */
    public void setLimits(HedgePolicy newPolicy, long newWindowMillis) {
        policy = Arguments.notNull(newPolicy, "newPolicy");
        if (Arguments.positive(newWindowMillis, "newWindowMillis") != windowMillis) {
            windowMillis = newWindowMillis;
            all = new SlidingCounts(windowMillis);
            services.clear();
            customers.clear();
        }
    }

    /**
     * Counts a request.
     *
     * @param service the service that it goes to, not null
     * @param customer the name of its customer, empty for requests without one, not null
     * @param nowMillis the present time
     */
    public void recordRequest(String service, String customer, long nowMillis) {
        all.addRequest(nowMillis);
        counts(services, service).addRequest(nowMillis);
        counts(customers, customer).addRequest(nowMillis);
    }

    /**
     * Takes one hedge if all limits allow it.
     *
     * @param service the service, not null
     * @param customer the name of the customer, empty for requests without one, not null
     * @param nowMillis the present time
     * @return the limit that forbids the hedge, empty if it may be sent
     */
    public Optional<HedgeDenial> tryHedge(String service, String customer, long nowMillis) {
        SlidingCounts ofService = counts(services, service);
        SlidingCounts ofCustomer = counts(customers, customer);
        if (!isWithin(all, policy.share(), nowMillis)) {
            return Optional.of(HedgeDenial.SHARE);
        }
        if (!isWithin(ofService, policy.serviceShare(), nowMillis)) {
            return Optional.of(HedgeDenial.SERVICE_SHARE);
        }
        if (!isWithin(ofCustomer, policy.customerShare(), nowMillis)) {
            return Optional.of(HedgeDenial.CUSTOMER_SHARE);
        }
        if (!retries.tryHedge(service, USABLE_RETRY_SHARE, nowMillis)) {
            return Optional.of(HedgeDenial.RETRY_BUDGET);
        }
        all.addExtra(nowMillis);
        ofService.addExtra(nowMillis);
        ofCustomer.addExtra(nowMillis);
        return Optional.empty();
    }

    HedgePolicy policy() {
        return policy;
    }

    private static boolean isWithin(SlidingCounts counts, double share, long nowMillis) {
        return counts.extras(nowMillis) + 1 <= share * counts.requests(nowMillis);
    }

    private SlidingCounts counts(Map<String, SlidingCounts> map, String key) {
        return map.computeIfAbsent(Arguments.notNull(key, "key"), k -> new SlidingCounts(windowMillis));
    }
}
