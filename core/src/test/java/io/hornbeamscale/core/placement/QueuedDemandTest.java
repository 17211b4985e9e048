package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against many entries that place their queued streams on the same server at the same moment. */
class QueuedDemandTest {
    private static final long PROMPT_TOKENS = 3_000;
    private static final int ENTRIES = 25;
    private static final int ROUNDS = 200;

    private final Random random = new Random(5);
    private final QueuedDemand demand = new QueuedDemand();

    private static QueuedDemand entryAmong(int entries) {
        QueuedDemand entry = new QueuedDemand();
        for (int i = 1; i < entries; i++) {
            entry.peerReported("entry-" + i, PROMPT_TOKENS, 0);
        }
        return entry;
    }

    @Nested
    class OneEntry {
        @Test
        void takesAllPlacesWhileNoOtherOneWaits() {
            assertTrue(demand.tryTake("a", PROMPT_TOKENS, 2, 0, random));
            assertTrue(demand.tryTake("a", PROMPT_TOKENS, 2, 0, random));
            assertFalse(demand.tryTake("a", PROMPT_TOKENS, 2, 0, random));
        }

        @Test
        void triesAgainAfterTheInterval() {
            assertTrue(demand.tryTake("a", PROMPT_TOKENS, 1, 0, random));
            assertFalse(demand.tryTake("a", PROMPT_TOKENS, 1, QueuedDemand.DRAW_INTERVAL_MILLIS - 1, random));
            assertTrue(demand.tryTake("a", PROMPT_TOKENS, 1, QueuedDemand.DRAW_INTERVAL_MILLIS, random));
        }

        /** The status messages of the others are lost; their queued demand must not hold this entry back for good. */
        @Test
        void forgetsTheDemandOfEntriesThatReportNothingMore() {
            demand.peerReported("entry-1", 1_000_000_000, 0);
            assertFalse(demand.tryTake("a", 1, 1, 0, random));
            assertTrue(demand.tryTake("a", 1, 1, QueuedDemand.PEER_DEMAND_TTL_MILLIS + 1, random));
        }
    }

    /** Load: 25 entries have one stream queued each when a server with room for two prompts is added. */
    @Nested
    class ManyEntries {
        @Test
        void togetherTakeAboutTheRoomOfTheServer() {
            int taken = 0;
            int most = 0;
            for (int round = 0; round < ROUNDS; round++) {
                int now = 0;
                for (int i = 0; i < ENTRIES; i++) {
                    now += entryAmong(ENTRIES).tryTake("a", PROMPT_TOKENS, 2, 0, random) ? 1 : 0;
                }
                taken += now;
                most = Math.max(most, now);
            }
            assertEquals(2.0, taken / (double) ROUNDS, 0.5);
            assertTrue(most <= 8, "most at once: " + most);
        }
    }
}
