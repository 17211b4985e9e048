package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/** The network distance between two availability zones. */
public enum ZoneDistance {
    /** The same availability zone. */
    SAME_ZONE,
    /** Another availability zone of the same region. */
    SAME_REGION,
    /** Another region. */
    OTHER_REGION;

    /**
     * Returns the distance between two availability zones. Two zones of which one has no known region count as zones of
     * different regions.
     *
     * @param own the first zone, not null
     * @param other the second zone, not null
     * @param regions the region names by zone name, not null
     * @return the distance, never null
     */
    public static ZoneDistance between(String own, String other, Map<String, String> regions) {
        Arguments.notNull(own, "own");
        if (own.equals(other)) {
            return SAME_ZONE;
        }
        String region = regions.get(own);
        return region != null && region.equals(regions.get(other)) ? SAME_REGION : OTHER_REGION;
    }
}
