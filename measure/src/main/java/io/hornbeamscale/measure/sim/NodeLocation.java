package io.hornbeamscale.measure.sim;

/**
 * The location of a simulated node.
 *
 * @param region the region
 * @param zone the availability zone
 */
public record NodeLocation(String region, String zone) {
    private static final long SAME_ZONE_DELAY_MICROS = 250;

    private static final long SAME_REGION_DELAY_MICROS = 1_000;
    private static final long OTHER_REGION_DELAY_MICROS = 30_000;

    /**
     * Returns the one-way network delay to another location.
     *
     * @param other the other location, not null
     * @return the delay in microseconds
     */
    public long delayMicros(NodeLocation other) {
        if (!region.equals(other.region)) {
            return OTHER_REGION_DELAY_MICROS;
        }
        return zone.equals(other.zone) ? SAME_ZONE_DELAY_MICROS : SAME_REGION_DELAY_MICROS;
    }
}
