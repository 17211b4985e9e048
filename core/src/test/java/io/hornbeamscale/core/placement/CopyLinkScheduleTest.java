package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.route.EngineSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against moves that choose a target whose link is still busy with earlier copies. */
class CopyLinkScheduleTest {
    private static final EngineSpec ENGINE = new EngineSpec(24, 34_377, 163_840, 24_000, true, true, 4);

    @Nested
    class Copy {
        @Test
        void takesTwiceAsLongBetweenZones() {
            // 4,000 tokens of 163,840 bytes at 24 Gbit/s.
            assertEquals(218.5, CopyLinkSchedule.copyMillis(ENGINE, 4_000, true), 0.1);
            assertEquals(436.9, CopyLinkSchedule.copyMillis(ENGINE, 4_000, false), 0.1);
        }
    }

    @Nested
    class Busy {
        private final CopyLinkSchedule links = new CopyLinkSchedule();

        @Test
        void addsUpAtBothEnds() {
            links.begin("a", "b", 200, 0);
            links.begin("a", "c", 200, 0);
            assertEquals(400, links.busyMillis("a", 0));
            assertEquals(200, links.busyMillis("b", 0));
            assertEquals(400, links.busyMillis("c", 0));
        }

        @Test
        void passesWithTime() {
            links.begin("a", "b", 200, 0);
            assertEquals(50, links.busyMillis("a", 150));
            assertEquals(0, links.busyMillis("a", 500));
            links.forget("a");
            assertEquals(0, links.busyMillis("a", 0));
        }
    }
}
