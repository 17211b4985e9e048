package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against treating a zone without a known region as part of the own region. */
class ZoneDistanceTest {
    private static final Map<String, String> REGIONS = Map.of("a", "r", "b", "r", "c", "s");

    @Nested
    class Between {
        @Test
        void comparesZonesAndRegions() {
            assertEquals(ZoneDistance.SAME_ZONE, ZoneDistance.between("a", "a", REGIONS));
            assertEquals(ZoneDistance.SAME_REGION, ZoneDistance.between("a", "b", REGIONS));
            assertEquals(ZoneDistance.OTHER_REGION, ZoneDistance.between("a", "c", REGIONS));
        }

        @Test
        void treatsUnknownZonesAsOtherRegions() {
            assertEquals(ZoneDistance.OTHER_REGION, ZoneDistance.between("a", "x", REGIONS));
            assertEquals(ZoneDistance.OTHER_REGION, ZoneDistance.between("x", "y", REGIONS));
        }
    }
}
