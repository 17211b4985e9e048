package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;

/** Limits the bytes that an entry exchanges with other regions, and counts them. */
public final class LinkBudget {
    private final TokenBucket bucket;
    private long bytes;

    /**
     * Creates a budget.
     *
     * @param bytesPerSecond the budget in bytes per second, not negative; 0 allows no traffic with other regions
     */
    public LinkBudget(long bytesPerSecond) {
        double rate = (double) Arguments.notNegative(bytesPerSecond, "bytesPerSecond");
        this.bucket = new TokenBucket(rate, rate, 0);
    }

    /**
     * Returns whether new work may go to another region.
     *
     * @param bytes the bytes that the work sends at its start
     * @param nowMillis the present time
     * @return whether the budget has room
     */
    public boolean hasRoom(long bytes, long nowMillis) {
        return bucket.waitMillis((double) bytes, nowMillis) == 0;
    }

    /**
     * Counts bytes exchanged with other regions. They may exceed the budget, since running responses are not
     * interrupted.
     *
     * @param count the number of bytes
     * @param nowMillis the present time
     */
    public void count(long count, long nowMillis) {
        bucket.take((double) count, nowMillis);
        bytes += count;
    }

    /**
     * Returns the bytes counted so far.
     *
     * @return the number of bytes
     */
    public long bytes() {
        return bytes;
    }
}
