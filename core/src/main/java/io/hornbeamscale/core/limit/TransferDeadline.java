package io.hornbeamscale.core.limit;

/**
 * Decides when an incomplete response is given up. Until its first bytes, a fixed time applies; after that, a response
 * is given up if it makes no progress for some time, or if it is incomplete after the longest time for a transfer. A
 * large response over a narrow link is thus received, and a connection that no longer carries anything is noticed as
 * soon as before. Not safe for use by several threads.
 */
public final class TransferDeadline {
    private final long stallMillis;
    private final long transferMillis;
    private long lastMillis = Long.MAX_VALUE;
    private long dueMillis;

    /**
     * Creates a deadline of a response of which nothing has arrived.
     *
     * @param startedAtMillis when the request was sent
     * @param firstBytesMillis the time within which the first bytes must arrive, in milliseconds
     * @param stallMillis the longest time between two parts of the response, in milliseconds
     * @param transferMillis the longest time from the first bytes to the end, in milliseconds
     */
    public TransferDeadline(long startedAtMillis, long firstBytesMillis, long stallMillis, long transferMillis) {
        this.stallMillis = stallMillis;
        this.transferMillis = transferMillis;
        this.dueMillis = startedAtMillis + firstBytesMillis;
    }

    /**
     * Records the arrival of bytes of the body.
     *
     * @param nowMillis the present time
     */
    public void received(long nowMillis) {
        if (lastMillis == Long.MAX_VALUE) {
            lastMillis = nowMillis + transferMillis;
        }
        dueMillis = Math.min(lastMillis, nowMillis + stallMillis);
    }

    /**
     * Returns how long the response may still take if nothing more arrives.
     *
     * @param nowMillis the present time
     * @return the time left, in milliseconds, 0 if the response is given up
     */
    public long leftMillis(long nowMillis) {
        return Math.max(0, dueMillis - nowMillis);
    }
}
