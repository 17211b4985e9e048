package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.util.Arguments;

/**
 * The limits above which entries of a trail are moved to a segment.
 *
 * @param maxEntries the maximum number of entries in the newest part of the trail
 * @param maxBytes the maximum size of these entries, in bytes of UTF-8
 * @param maxValueBytes the maximum size of a value in the store, in bytes of UTF-8
 */
public record TrailLimits(int maxEntries, int maxBytes, int maxValueBytes) {
    /** The limits for the platform's store, whose values have at most 1 MB. */
    public static final TrailLimits STORE = new TrailLimits(200, 60_000, 1_000_000);

    /** Checks the components. */
    public TrailLimits {
        Arguments.positive(maxEntries, "maxEntries");
        Arguments.positive(maxBytes, "maxBytes");
        Arguments.positive(maxValueBytes, "maxValueBytes");
    }
}
