package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.util.Arguments;

/**
 * Bounds of the output that an agent keeps for resumption.
 *
 * @param retainMillis how long an ended generation is kept, in milliseconds
 * @param retainBytes the greatest size of all ended generations, in bytes
 * @param orphanMillis how long a generation without a reader goes on, in milliseconds
 * @param frameBytes the greatest size of the texts in one frame, in bytes
 */
public record RetentionLimits(long retainMillis, long retainBytes, long orphanMillis, int frameBytes) {
    /** Checks the parts. */
    public RetentionLimits {
        Arguments.notNegative(retainMillis, "retainMillis");
        Arguments.notNegative(retainBytes, "retainBytes");
        Arguments.notNegative(orphanMillis, "orphanMillis");
        Arguments.positive(frameBytes, "frameBytes");
    }

    /**
     * Returns bounds that fit an agent with a heap of 64 MB.
     *
     * @return the bounds, never null
     */
    public static RetentionLimits standard() {
        return new RetentionLimits(120_000, 16L << 20, 60_000, 256 << 10);
    }
}
