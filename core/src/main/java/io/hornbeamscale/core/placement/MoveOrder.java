package io.hornbeamscale.core.placement;

/**
 * Orders the copies of streams from a leaving server to other servers. A full server leaves within about two seconds,
 * and its link carries only some of its streams in that time, so streams that will probably end on their own are copied
 * later than the others.
 */
public final class MoveOrder {
    /**
     * The remaining time below which a stream probably ends before its server leaves, in milliseconds; half the usual
     * notice.
     */
    private static final double SHORT_REMAINDER_MILLIS = 1_000;

    /**
     * How long the copy of a stream with a short remainder is delayed, in milliseconds. Length hints are often wrong,
     * so the stream is still copied afterwards, while there is time for a copy.
     */
    private static final long SHORT_REMAINDER_DELAY_MILLIS = 700;

    /** The time per token on a busy server, in milliseconds; the fastest servers take 7. */
    private static final double MILLIS_PER_TOKEN = 8;

    private MoveOrder() {}

    /**
     * Returns how long the copy of a stream waits after its server began to leave.
     *
     * @param size the size of the generation, not null
     * @param emittedTokens the number of tokens emitted so far
     * @return the delay, in milliseconds; 0 to begin at once
     */
    public static long delayMillis(GenerationSize size, long emittedTokens) {
        long remainder = size.expectedTokens() - emittedTokens;
        // The remainder of a stream beyond its expected length is unknown.
        boolean isShort = remainder > 0 && remainder * MILLIS_PER_TOKEN < SHORT_REMAINDER_MILLIS;
        return isShort ? SHORT_REMAINDER_DELAY_MILLIS : 0;
    }
}
