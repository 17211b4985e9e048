package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of each service within a sliding window to a share of its requests plus this entry's part of a
 * fixed slack. The sum over all entries stays within the total without coordination, since every entry counts only its
 * own requests. Not safe for use by several threads.
 */
public final class WindowedRetryBudget {
    private double ratio;
    private long windowMillis;
    private double slack;
    private int entries = 1;
    private final Map<String, SlidingCounts> windows = new HashMap<>();

    /**
     * Creates a budget for one entry.
     *
     * @param ratio the retries allowed per request, from 0 to 1
     * @param windowMillis the length of the window, in milliseconds
     * @param slack the additional retries that all entries together may send in a window
     */
    public WindowedRetryBudget(double ratio, long windowMillis, double slack) {
        setLimits(ratio, windowMillis, slack);
    }

    /**
     * Replaces the limits. If the length of the window changes, all counts are reset.
     *
     * @param newRatio the retries allowed per request, from 0 to 1
     * @param newWindowMillis the length of the window, in milliseconds
     * @param newSlack the additional retries that all entries together may send in a window
     */
    public void setLimits(double newRatio, long newWindowMillis, double newSlack) {
        ratio = Arguments.inRange(newRatio, 0, 1, "newRatio");
        slack = newSlack;
        if (Arguments.positive(newWindowMillis, "newWindowMillis") != windowMillis) {
            windowMillis = newWindowMillis;
            windows.clear();
        }
    }

    /**
     * Sets how many entries share the slack.
     *
     * @param count the number of entries, at least 1
     */
    public void setEntries(int count) {
        entries = (int) Arguments.positive(count, "count");
    }

    /**
     * Counts a request.
     *
     * @param service the service that it goes to, not null
     * @param nowMillis the present time
     */
    public void recordRequest(String service, long nowMillis) {
        window(service).addRequest(nowMillis);
    }

    /**
     * Takes one retry if it is within the budget.
     *
     * @param service the service, not null
     * @param nowMillis the present time
     * @return whether the retry may be sent
     */
    public boolean tryRetry(String service, long nowMillis) {
        return tryExtra(service, 1, nowMillis);
    }

    /**
     * Takes one hedge, a second send of a request that still waits for the response to its first one, if the retries
     * and hedges of the service leave a part of the budget unused. Retries after failures thus always find the rest of
     * the budget, since they are needed more than hedges.
     *
     * @param service the service, not null
     * @param usableShare the share of the budget that hedges may use up together with the retries, from 0 to 1
     * @param nowMillis the present time
     * @return whether the hedge may be sent
     */
    public boolean tryHedge(String service, double usableShare, long nowMillis) {
        return tryExtra(service, Arguments.inRange(usableShare, 0, 1, "usableShare"), nowMillis);
    }

    /**
     * Counts a retry that is sent regardless of the budget, such as the continuation of a stream.
     *
     * @param service the service, not null
     * @param nowMillis the present time
     */
    public void forceRetry(String service, long nowMillis) {
        window(service).addExtra(nowMillis);
    }

    private boolean tryExtra(String service, double usableShare, long nowMillis) {
        SlidingCounts window = window(service);
        double allowed = usableShare * (ratio * window.requests(nowMillis) + slack / entries);
        if (window.extras(nowMillis) + 1 > allowed) {
            return false;
        }
        window.addExtra(nowMillis);
        return true;
    }

    private SlidingCounts window(String service) {
        return windows.computeIfAbsent(service, k -> new SlidingCounts(windowMillis));
    }
}
