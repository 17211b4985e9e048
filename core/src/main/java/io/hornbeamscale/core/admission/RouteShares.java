package io.hornbeamscale.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the recent admissions of each route, of which every route is guaranteed a minimum share. Not safe for use by
 * several threads.
 */
final class RouteShares {
    /** The half-life of an admission, in milliseconds. */
    private static final long HALF_LIFE_MILLIS = 10_000;

    /** The guaranteed share of the admissions; less if there are more than five routes. */
    private static final double MIN_SHARE = 0.1;

    /** The guaranteed share of all routes together; the order of urgency applies to the rest. */
    private static final double MAX_SUM_OF_SHARES = 0.5;

    /** The number of recent admissions from which on the shares are meaningful. */
    private static final double MIN_ADMISSIONS = 5;

    /** The number of admissions below which a route counts as unused. */
    private static final double UNUSED_ADMISSIONS = 0.01;

    private final Map<String, DecayedSum> byRoute = new HashMap<>();
    private final DecayedSum total = new DecayedSum(HALF_LIFE_MILLIS);

    void admitted(String route, long nowMillis) {
        byRoute.values().removeIf(sum -> sum.value(nowMillis) < UNUSED_ADMISSIONS);
        byRoute.computeIfAbsent(route, k -> new DecayedSum(HALF_LIFE_MILLIS)).add(1, nowMillis);
        total.add(1, nowMillis);
    }

    /** Returns whether a route has less than its guaranteed share. */
    boolean isBelowFloor(String route, long nowMillis) {
        double all = total.value(nowMillis);
        if (all < MIN_ADMISSIONS) {
            return false;
        }
        DecayedSum own = byRoute.get(route);
        int routes = byRoute.size() + (own == null ? 1 : 0);
        double share = Math.min(MIN_SHARE, MAX_SUM_OF_SHARES / routes);
        return (own == null ? 0 : own.value(nowMillis)) < share * all;
    }
}
