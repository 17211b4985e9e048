package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a process that holds more for its clients than it has, and against closing the wrong ones. */
class HeldBytesBudgetTest {
    private final HeldBytesBudget<String> budget = new HeldBytesBudget<>(1_000);

    private HeldBytesBudget<String>.Holding waiting(String client, long bytes, long sinceMillis) {
        HeldBytesBudget<String>.Holding holding = budget.open(client);
        holding.add(bytes);
        holding.startWaiting(sinceMillis);
        return holding;
    }

    @Nested
    class Counting {
        @Test
        void addsAndReturnsBytes() {
            HeldBytesBudget<String>.Holding holding = budget.open("a");
            holding.add(300);
            holding.remove(100);
            assertEquals(200, holding.bytes());
            assertEquals(200, budget.usedBytes());
        }

        @Test
        void releasesOnce() {
            HeldBytesBudget<String>.Holding holding = budget.open("a");
            holding.add(300);
            holding.release();
            holding.release();
            holding.add(100);
            holding.remove(100);
            assertEquals(0, budget.usedBytes());
            assertTrue(holding.isReleased());
        }

        @Test
        void refusesToReturnMoreThanHeld() {
            HeldBytesBudget<String>.Holding holding = budget.open("a");
            assertThrows(IllegalArgumentException.class, () -> holding.remove(1));
            assertThrows(IllegalArgumentException.class, () -> holding.add(-1));
        }
    }

    @Nested
    class Closing {
        @Test
        void closesNobodyWithRoom() {
            waiting("a", 850, 0);
            assertEquals(List.of(), budget.selectToClose(60_000));
        }

        @Test
        void closesTheSlowestAndLargestFirst() {
            waiting("new and large", 400, 990);
            waiting("old and large", 300, 0);
            waiting("old and small", 200, 0);
            assertEquals(List.of("old and large"), budget.selectToClose(1_000));
            assertEquals(600, budget.usedBytes());
        }

        @Test
        void closesUntilThereIsRoom() {
            waiting("a", 450, 0);
            waiting("b", 400, 0);
            waiting("c", 150, 0);
            waiting("d", 300, 0);
            assertEquals(List.of("a", "b"), budget.selectToClose(1_000));
            assertEquals(List.of(), budget.selectToClose(1_000));
        }

        @Test
        void sparesClientsThatAreServed() {
            HeldBytesBudget<String>.Holding served = waiting("served", 900, 0);
            served.stopWaiting();
            waiting("small", 10, 999);
            assertEquals(List.of("small"), budget.selectToClose(1_000));
            assertFalse(served.isReleased());
        }
    }

    @Nested
    class LargeBodies {
        @Test
        void mayBeginWithRoom() {
            waiting("a", 700, 0);
            assertTrue(budget.hasRoomForLargeBody());
            assertEquals(List.of(), budget.selectForLargeBody(500, 60_000));
        }

        @Test
        void displaceOnlySlowClients() {
            waiting("slow", 400, 0);
            waiting("fast", 400, 800);
            assertEquals(List.of("slow"), budget.selectForLargeBody(500, 1_000));
            assertTrue(budget.hasRoomForLargeBody());
        }

        @Test
        void areRefusedIfNobodyIsSlow() {
            waiting("fast", 800, 800);
            assertEquals(List.of(), budget.selectForLargeBody(500, 1_000));
            assertFalse(budget.hasRoomForLargeBody());
        }
    }
}
