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
    /** The number of buckets in a window. */
    private static final int BUCKETS = 40;

    private double ratio;
    private long bucketMillis;
    private double slack;
    private int entries = 1;
    private final Map<String, Window> windows = new HashMap<>();

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
     * @param windowMillis the length of the window, in milliseconds
     * @param newSlack the additional retries that all entries together may send in a window
     */
    public void setLimits(double newRatio, long windowMillis, double newSlack) {
        ratio = Arguments.inRange(newRatio, 0, 1, "newRatio");
        slack = newSlack;
        long newBucketMillis = Math.max(1, Arguments.positive(windowMillis, "windowMillis") / BUCKETS);
        if (newBucketMillis != bucketMillis) {
            bucketMillis = newBucketMillis;
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
        window(service, nowMillis).addRequest();
    }

    /**
     * Takes one retry if it is within the budget.
     *
     * @param service the service, not null
     * @param nowMillis the present time
     * @return whether the retry may be sent
     */
    public boolean tryRetry(String service, long nowMillis) {
        Window window = window(service, nowMillis);
        if (window.retries + 1 > ratio * window.requests + slack / entries) {
            return false;
        }
        window.addRetry();
        return true;
    }

    /**
     * Counts a retry that is sent regardless of the budget, such as the continuation of a stream.
     *
     * @param service the service, not null
     * @param nowMillis the present time
     */
    public void forceRetry(String service, long nowMillis) {
        window(service, nowMillis).addRetry();
    }

    private Window window(String service, long nowMillis) {
        Window window = windows.computeIfAbsent(service, k -> new Window());
        window.advance(Math.floorDiv(nowMillis, bucketMillis));
        return window;
    }

    /** The counts of one service. One extra bucket ensures that any time range of the window's length is covered. */
    private static final class Window {
        private final int[] requestsByBucket = new int[BUCKETS + 1];
        private final int[] retriesByBucket = new int[BUCKETS + 1];
        private long newest = Long.MIN_VALUE;
        private int requests;
        private int retries;

        void advance(long bucket) {
            long first = Math.max(newest + 1, bucket - BUCKETS);
            for (long each = first; each <= bucket; each++) {
                int index = Math.floorMod(each, BUCKETS + 1);
                requests -= requestsByBucket[index];
                retries -= retriesByBucket[index];
                requestsByBucket[index] = 0;
                retriesByBucket[index] = 0;
            }
            newest = Math.max(newest, bucket);
        }

        void addRequest() {
            requests++;
            requestsByBucket[Math.floorMod(newest, BUCKETS + 1)]++;
        }

        void addRetry() {
            retries++;
            retriesByBucket[Math.floorMod(newest, BUCKETS + 1)]++;
        }
    }
}
