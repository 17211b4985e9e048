package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.placement.PlacementQueue.Requirements;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait although they cannot be served in time, and against priorities that starve. */
class PlacementQueueTest {
    private final PlacementQueue<String> queue = new PlacementQueue<>();

    private static Requirements requirements(int priority, long arrived) {
        return new Requirements(priority, 2_800, arrived, 1_500, arrived + 6_000);
    }

    @Nested
    class Order {
        @Test
        void isByArrivalWithinAPriority() {
            queue.offer("b", requirements(0, 20), 1, 20);
            queue.offer("a", requirements(0, 10), 1, 20);
            assertEquals(List.of("a", "b"), queue.inOrder());
        }

        @Test
        void prefersTheMoreUrgentPriority() {
            queue.offer("long", requirements(1, 0), 1, 0);
            queue.offer("short", requirements(0, 100), 1, 100);
            assertEquals(List.of("short", "long"), queue.inOrder());
        }

        @Test
        void doesNotStarveTheLessUrgentPriority() {
            queue.offer("long", requirements(1, 0), 1, 0);
            queue.offer("short", requirements(0, PlacementQueue.MILLIS_PER_PRIORITY + 1), 1, 400);
            assertEquals(List.of("long", "short"), queue.inOrder());
        }

        @Test
        void forgetsRemovedRequests() {
            queue.offer("a", requirements(0, 0), 1, 0);
            assertEquals(1, queue.size());
            queue.remove("a");
            assertTrue(queue.isEmpty());
            assertEquals(0, queue.size());
        }
    }

    @Nested
    class Refusal {
        @Test
        void comesEarlierIfALimitLeavesPartOfAServer() {
            queue.offer("first", requirements(0, 0), 0.125, 0);
            assertEquals(Optional.of(3_200L), queue.offer("second", requirements(0, 0), 0.125, 0));
        }

        /** One server processes 7 prompt tokens per millisecond, so each of these requests takes 400 ms. */
        @Test
        void comesAtOnceIfTheQueueIsTooLong() {
            int accepted = 0;
            while (queue.offer("r" + accepted, requirements(0, 0), 1, 0).isEmpty()) {
                accepted++;
            }
            assertEquals(7, accepted);
            assertEquals(Optional.of(2_800L), queue.offer("late", requirements(0, 0), 1, 0));
        }

        @Test
        void comesLaterWithMoreServers() {
            int accepted = 0;
            while (queue.offer("r" + accepted, requirements(0, 0), 4, 0).isEmpty()) {
                accepted++;
            }
            assertEquals(25, accepted);
        }

        @Test
        void countsOnlyRequestsAhead() {
            for (int i = 0; i < 7; i++) {
                queue.offer("r" + i, requirements(1, 0), 1, 0);
            }
            assertEquals(Optional.empty(), queue.offer("urgent", requirements(0, 0), 1, 0));
        }

        @Test
        void takesTheElapsedWaitIntoAccount() {
            assertTrue(PlacementQueue.maxWaitMillis(requirements(0, 0), 3_100) < 0);
            assertEquals(2_400, PlacementQueue.maxWaitMillis(requirements(0, 0), 0));
        }
    }
}
