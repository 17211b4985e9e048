package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.placement.PlacementQueue.Requirements;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait although they cannot be served in time, and against ranks that starve. */
class PlacementQueueTest {
    private final PlacementQueue<String> room = new PlacementQueue<>();

    private static Requirements need(int rank, long arrived) {
        return new Requirements(rank, 2_800, arrived, 1_500, arrived + 6_000);
    }

    @Nested
    class Order {
        @Test
        void isByArrivalWithinARank() {
            room.offer("b", need(0, 20), 1, 20);
            room.offer("a", need(0, 10), 1, 20);
            assertEquals(List.of("a", "b"), room.inOrder());
        }

        @Test
        void prefersTheMoreUrgentRank() {
            room.offer("long", need(1, 0), 1, 0);
            room.offer("short", need(0, 100), 1, 100);
            assertEquals(List.of("short", "long"), room.inOrder());
        }

        @Test
        void doesNotStarveTheLessUrgentRank() {
            room.offer("long", need(1, 0), 1, 0);
            room.offer("short", need(0, PlacementQueue.RANK_MILLIS + 1), 1, 400);
            assertEquals(List.of("long", "short"), room.inOrder());
        }

        @Test
        void forgetsRemovedRequests() {
            room.offer("a", need(0, 0), 1, 0);
            assertEquals(1, room.size());
            room.remove("a");
            assertTrue(room.isEmpty());
            assertEquals(0, room.size());
        }
    }

    @Nested
    class Refusal {
        /** One server reads 7 tokens a millisecond: 400 ms for each of these requests. */
        @Test
        void comesAtOnceIfTheQueueIsTooLong() {
            int accepted = 0;
            while (room.offer("r" + accepted, need(0, 0), 1, 0).isEmpty()) {
                accepted++;
            }
            assertEquals(7, accepted);
            assertEquals(Optional.of(2_800L), room.offer("late", need(0, 0), 1, 0));
        }

        @Test
        void comesLaterWithMoreServers() {
            int accepted = 0;
            while (room.offer("r" + accepted, need(0, 0), 4, 0).isEmpty()) {
                accepted++;
            }
            assertEquals(25, accepted);
        }

        @Test
        void countsOnlyWhatIsAhead() {
            for (int i = 0; i < 7; i++) {
                room.offer("r" + i, need(1, 0), 1, 0);
            }
            assertEquals(Optional.empty(), room.offer("urgent", need(0, 0), 1, 0));
        }

        @Test
        void takesTheTimeThatWasSpentIntoAccount() {
            assertTrue(PlacementQueue.maxWaitMillis(need(0, 0), 3_100) < 0);
            assertEquals(2_400, PlacementQueue.maxWaitMillis(need(0, 0), 0));
        }
    }
}
