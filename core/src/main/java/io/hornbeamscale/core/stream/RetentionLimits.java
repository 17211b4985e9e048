package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.util.Arguments;

/**
 * Limits of the output that an agent retains for resumption.
 *
 * @param retainMillis how long an ended generation is retained, in milliseconds
 * @param retainBytes the maximum total size of the ended generations, in bytes
 * @param orphanMillis how long a generation continues without a reader, in milliseconds
 * @param frameBytes the maximum size of the texts in one frame, in bytes; a single larger token is sent alone
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
     * Returns limits for an agent with a heap of 64 MB.
     *
     * @return the limits, never null
     */
    public static RetentionLimits standard() {
        return new RetentionLimits(120_000, 16L << 20, 60_000, 256 << 10);
    }
}
