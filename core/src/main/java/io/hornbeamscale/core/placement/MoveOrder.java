package io.hornbeamscale.core.placement;

/**
 * In which order the streams of a server that leaves are copied to others, for the load of a full server that leaves
 * within two seconds: its link carries only some of its streams in that time, so the streams that will probably end by
 * themselves let the others go first.
 */
public final class MoveOrder {
    /** The rest of a stream that probably ends before its server leaves, in milliseconds; half the usual notice. */
    private static final double SHORT_REMAINDER_MILLIS = 1_000;

    /**
     * How long a stream with a short rest waits, in milliseconds. Hints of the length are often wrong, so it is still
     * copied afterwards, while there is still time for a copy.
     */
    private static final long SHORT_REMAINDER_DELAY_MILLIS = 700;

    /** The time of a token on a busy server, in milliseconds; the fastest take 7. */
    private static final double MILLIS_PER_TOKEN = 8;

    private MoveOrder() {}

    /**
     * Returns how long the copy of a stream waits after its server was found to leave.
     *
     * @param size the size of the generation, not null
     * @param madeTokens the tokens that were made so far
     * @return the time, in milliseconds, 0 to begin at once
     */
    public static long delayMillis(GenerationSize size, long madeTokens) {
        long rest = size.expectedTokens() - madeTokens;
        // A stream beyond its expected length says nothing about its rest.
        boolean isShort = rest > 0 && rest * MILLIS_PER_TOKEN < SHORT_REMAINDER_MILLIS;
        return isShort ? SHORT_REMAINDER_DELAY_MILLIS : 0;
    }
}
