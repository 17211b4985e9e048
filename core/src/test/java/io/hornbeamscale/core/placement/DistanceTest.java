package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a zone without a known region that counts as near. */
class DistanceTest {
    private static final Map<String, String> REGIONS = Map.of("a", "r", "b", "r", "c", "s");

    @Nested
    class Between {
        @Test
        void zonesOfOneRegionIsShort() {
            assertEquals(Distance.SAME_ZONE, Distance.between("a", "a", REGIONS));
            assertEquals(Distance.SAME_REGION, Distance.between("a", "b", REGIONS));
            assertEquals(Distance.OTHER_REGION, Distance.between("a", "c", REGIONS));
        }

        @Test
        void unknownZonesIsFar() {
            assertEquals(Distance.OTHER_REGION, Distance.between("a", "x", REGIONS));
            assertEquals(Distance.OTHER_REGION, Distance.between("x", "y", REGIONS));
        }
    }
}
