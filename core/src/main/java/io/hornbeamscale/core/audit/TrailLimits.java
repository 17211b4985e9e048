package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.util.Arguments;

/**
 * When a trail's entries move to a segment of their own.
 *
 * @param maxEntries the greatest number of entries beside the newest value
 * @param maxBytes the greatest size of these entries, in bytes of UTF-8
 * @param maxValueBytes the greatest size of a value in the store, in bytes of UTF-8
 */
public record TrailLimits(int maxEntries, int maxBytes, int maxValueBytes) {
    /** The limits for the platform's store, whose values hold 1 MB. */
    public static final TrailLimits STORE = new TrailLimits(200, 60_000, 1_000_000);

    /** Checks the parts. */
    public TrailLimits {
        Arguments.positive(maxEntries, "maxEntries");
        Arguments.positive(maxBytes, "maxBytes");
        Arguments.positive(maxValueBytes, "maxValueBytes");
    }
}
