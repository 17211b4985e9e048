package io.hornbeamscale.measure.sim;

/**
 * A place of a node.
 *
 * @param region the region
 * @param zone the availability zone
 */
public record Site(String region, String zone) {
    /** Delay within an availability zone in microseconds. */
    private static final long SAME_ZONE = 250;

    private static final long SAME_REGION = 1_000;
    private static final long OTHER_REGION = 30_000;

    /**
     * Returns the one-way delay to another place.
     *
     * @param other the other place, not null
     * @return the delay in microseconds
     */
    public long delayMicros(Site other) {
        if (!region.equals(other.region)) {
            return OTHER_REGION;
        }
        return zone.equals(other.zone) ? SAME_ZONE : SAME_REGION;
    }
}
