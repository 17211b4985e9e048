package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;

/**
 * Counts requests and their extra sends (retries, hedges) in a sliding window. Not safe for use by several threads.
 */
public final class SlidingCounts {
    /** The number of buckets in a window. */
    private static final int BUCKETS = 40;

    /** One extra bucket ensures that any time range of the window's length is covered. */
    private final int[] requestsByBucket = new int[BUCKETS + 1];

    private final int[] extrasByBucket = new int[BUCKETS + 1];
    private final long bucketMillis;
    private long newest = Long.MIN_VALUE;
    private int requests;
    private int extras;

    /**
     * Creates empty counts.
     *
     * @param windowMillis the length of the window, in milliseconds, greater than 0
     */
    public SlidingCounts(long windowMillis) {
        bucketMillis = Math.max(1, Arguments.positive(windowMillis, "windowMillis") / BUCKETS);
    }

    /**
     * Counts a request.
     *
     * @param nowMillis the present time
     */
    public void addRequest(long nowMillis) {
        advance(nowMillis);
        requests++;
        requestsByBucket[index(newest)]++;
    }

    /**
     * Counts an extra send.
     *
     * @param nowMillis the present time
     */
    public void addExtra(long nowMillis) {
        advance(nowMillis);
        extras++;
        extrasByBucket[index(newest)]++;
    }

    /**
     * Returns the number of requests in the window.
     *
     * @param nowMillis the present time
     * @return the number, not negative
     */
    public int requests(long nowMillis) {
        advance(nowMillis);
        return requests;
    }

    /**
     * Returns the number of extra sends in the window.
     *
     * @param nowMillis the present time
     * @return the number, not negative
     */
    public int extras(long nowMillis) {
        advance(nowMillis);
        return extras;
    }

    private void advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, bucketMillis);
        for (long each = Math.max(newest + 1, bucket - BUCKETS); each <= bucket; each++) {
            int index = index(each);
            requests -= requestsByBucket[index];
            extras -= extrasByBucket[index];
            requestsByBucket[index] = 0;
            extrasByBucket[index] = 0;
        }
        newest = Math.max(newest, bucket);
    }

    private static int index(long bucket) {
        return Math.floorMod(bucket, BUCKETS + 1);
    }
}
