package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load of a failing service. */
class WindowedRetryBudgetTest {
    private static final long WINDOW = 10_000;

    private static int take(WindowedRetryBudget budget, int tries, long now) {
        int taken = 0;
        for (int i = 0; i < tries; i++) {
            taken += budget.tryRetry("s", now) ? 1 : 0;
        }
        return taken;
    }

    @Nested
    class OneEntry {
        private final WindowedRetryBudget budget = new WindowedRetryBudget(0.2, WINDOW, 5);

        @Test
        void hasTheSlackWithoutRequests() {
            assertEquals(5, take(budget, 100, 0));
        }

        @Test
        void getsAShareOfItsRequests() {
            for (int i = 0; i < 100; i++) {
                budget.recordRequest("s", 0);
            }
            assertEquals(25, take(budget, 100, 0));
        }

        @Test
        void keepsServicesApart() {
            take(budget, 100, 0);
            assertTrue(budget.tryRetry("t", 0));
        }

        @Test
        void countsForcedRetries() {
            for (int i = 0; i < 5; i++) {
                budget.forceRetry("s", 0);
            }
            assertFalse(budget.tryRetry("s", 0));
        }

        @Test
        void getsTheSlackBackAfterTheWindow() {
            take(budget, 100, 0);
            assertEquals(0, take(budget, 100, WINDOW));
            assertEquals(5, take(budget, 100, WINDOW + WINDOW / 40 + 1));
        }

        @Test
        void takesNewLimitsOver() {
            budget.setLimits(0.2, WINDOW, 1);
            assertEquals(1, take(budget, 100, 0));
        }
    }

    @Nested
    class SeveralEntries {
        /**
         * The retries in any time range of the window's length stay within the sum, however many each entry attempts.
         */
        @Test
        void stayWithinTheSumTogether() {
            Random random = new Random(7);
            int entries = 4;
            WindowedRetryBudget[] all = new WindowedRetryBudget[entries];
            for (int i = 0; i < entries; i++) {
                all[i] = new WindowedRetryBudget(0.2, WINDOW, 54);
                all[i].setEntries(entries);
            }
            int span = (int) (WINDOW / 100);
            int[] requests = new int[600];
            int[] retries = new int[600];
            for (int step = 0; step < requests.length; step++) {
                for (WindowedRetryBudget each : all) {
                    for (int i = random.nextInt(5); i > 0; i--) {
                        each.recordRequest("s", step * 100L);
                        requests[step]++;
                    }
                    retries[step] += take(each, random.nextInt(20), step * 100L);
                }
            }
            for (int end = span; end < requests.length; end++) {
                int retryCount = 0;
                int requestCount = 0;
                for (int step = end - span + 1; step <= end; step++) {
                    retryCount += retries[step];
                }
                // The platform uses the greater request count of this window and of the window that began half a window
                // earlier.
                for (int step = Math.max(0, end - span - span / 2); step <= end; step++) {
                    requestCount += requests[step];
                }
                assertTrue(retryCount <= 0.2 * requestCount + 54, "step " + end);
            }
        }
    }
}
