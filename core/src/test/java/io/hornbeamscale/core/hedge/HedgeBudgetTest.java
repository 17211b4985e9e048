package io.hornbeamscale.core.hedge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.limit.WindowedRetryBudget;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hedges that multiply the load of slow servers or use up what retries need. */
class HedgeBudgetTest {
    private static final long WINDOW = 10_000;
    private static final long BUCKET = WINDOW / 40;

    private final WindowedRetryBudget retries = new WindowedRetryBudget(0.2, WINDOW, 5);

    private HedgeBudget budget(double share, double serviceShare, double customerShare) {
        return new HedgeBudget(retries, new HedgePolicy(share, serviceShare, customerShare, 0.95), WINDOW);
    }

    private void request(HedgeBudget budget, String service, String customer, int count) {
        for (int i = 0; i < count; i++) {
            retries.recordRequest(service, 0);
            budget.recordRequest(service, customer, 0);
        }
    }

    private static int take(HedgeBudget budget, String service, String customer, long now) {
        int taken = 0;
        while (taken < 1_000 && budget.tryHedge(service, customer, now).isEmpty()) {
            taken++;
        }
        return taken;
    }

    @Nested
    class Share {
        @Test
        void allowsNothingWithoutRequests() {
            assertEquals(Optional.of(HedgeDenial.SHARE), budget(1, 1, 1).tryHedge("s", "c", 0));
        }

        @Test
        void limitsAllServicesTogether() {
            HedgeBudget budget = budget(0.02, 1, 1);
            request(budget, "s", "c", 100);
            request(budget, "t", "d", 100);
            assertEquals(4, take(budget, "s", "c", 0));
            assertEquals(Optional.of(HedgeDenial.SHARE), budget.tryHedge("t", "d", 0));
        }

        @Test
        void limitsEachService() {
            HedgeBudget budget = budget(0.1, 0.04, 1);
            request(budget, "s", "c", 100);
            request(budget, "t", "d", 100);
            assertEquals(4, take(budget, "s", "c", 0));
            assertEquals(Optional.of(HedgeDenial.SERVICE_SHARE), budget.tryHedge("s", "c", 0));
            assertEquals(Optional.empty(), budget.tryHedge("t", "d", 0));
        }

        @Test
        void limitsEachCustomer() {
            HedgeBudget budget = budget(0.1, 1, 0.04);
            request(budget, "s", "c", 100);
            request(budget, "s", "", 100);
            assertEquals(4, take(budget, "s", "c", 0));
            assertEquals(Optional.of(HedgeDenial.CUSTOMER_SHARE), budget.tryHedge("s", "c", 0));
            assertEquals(Optional.empty(), budget.tryHedge("s", "", 0));
        }

        @Test
        void isFreeAgainAfterTheWindow() {
            HedgeBudget budget = budget(0.02, 1, 1);
            request(budget, "s", "c", 100);
            assertEquals(2, take(budget, "s", "c", 0));
            for (int i = 0; i < 100; i++) {
                budget.recordRequest("s", "c", WINDOW + BUCKET);
            }
            assertEquals(2, take(budget, "s", "c", WINDOW + BUCKET));
        }

        @Test
        void isNoneIfThePolicyIsOff() {
            HedgeBudget budget = new HedgeBudget(retries, HedgePolicy.OFF, WINDOW);
            request(budget, "s", "c", 1_000);
            assertEquals(0, take(budget, "s", "c", 0));
        }

        @Test
        void takesNewLimitsOver() {
            HedgeBudget budget = budget(0.02, 1, 1);
            request(budget, "s", "c", 100);
            budget.setLimits(HedgePolicy.OFF, WINDOW);
            assertEquals(0, take(budget, "s", "c", 0));
            budget.setLimits(HedgePolicy.ofShare(0.03), WINDOW);
            assertEquals(3, take(budget, "s", "c", 0));
        }
    }

    @Nested
    class WithRetries {
        /** The budget of retries is 0.2 x 100 + 5. */
        @Test
        void leavesHalfOfTheRetryBudgetToRetries() {
            HedgeBudget budget = budget(1, 1, 1);
            request(budget, "s", "c", 100);
            assertEquals(12, take(budget, "s", "c", 0));
            assertEquals(Optional.of(HedgeDenial.RETRY_BUDGET), budget.tryHedge("s", "c", 0));
            int repeats = 0;
            while (retries.tryRetry("s", 0)) {
                repeats++;
            }
            assertEquals(13, repeats);
        }

        @Test
        void isDeniedOnceRetriesHaveUsedHalfOfTheirBudget() {
            HedgeBudget budget = budget(1, 1, 1);
            request(budget, "s", "c", 100);
            for (int i = 0; i < 12; i++) {
                assertTrue(retries.tryRetry("s", 0));
            }
            assertEquals(Optional.of(HedgeDenial.RETRY_BUDGET), budget.tryHedge("s", "c", 0));
        }

        @Test
        void doesNotCountADeniedHedge() {
            HedgeBudget budget = budget(0.01, 1, 1);
            request(budget, "s", "c", 100);
            assertEquals(1, take(budget, "s", "c", 0));
            assertFalse(budget.tryHedge("s", "c", 0).isEmpty());
            int repeats = 0;
            while (retries.tryRetry("s", 0)) {
                repeats++;
            }
            assertEquals(24, repeats);
        }
    }

    @Nested
    class AnySequence {
        private record Event(long millis, String service, String customer) {}

        private static long count(List<Event> events, long from, long to, String service, String customer) {
            return events.stream()
                    .filter(e -> e.millis > from && e.millis <= to)
                    .filter(e -> service.isEmpty() || service.equals(e.service))
                    .filter(e -> customer.isEmpty() || customer.equals(e.customer))
                    .count();
        }

        /**
         * Whenever a hedge or retry is taken, the hedges of the window stay within each share of its requests, and
         * retries plus hedges within the retry budget. The budgets count whole parts of the window, so that they see
         * requests that are older by one part.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void staysWithinAllLimits(long seed) {
            Random random = new Random(seed);
            HedgeBudget budget = budget(0.05, 0.08, 0.1);
            List<Event> requests = new ArrayList<>();
            List<Event> hedges = new ArrayList<>();
            List<Event> extras = new ArrayList<>();
            long now = 0;
            for (int step = 0; step < 3_000; step++) {
                // Phases without requests let the window run empty while hedges and retries are still asked for.
                now += random.nextInt(50) == 0 ? random.nextInt(15_000) : random.nextInt(40);
                String service = random.nextInt(4) == 0 ? "t" : "s";
                String customer = "c" + random.nextInt(3);
                Event event = new Event(now, service, customer);
                long from = now - WINDOW;
                int choice = random.nextInt(step / 300 % 2 == 0 ? 4 : 12);
                if (choice == 0 && budget.tryHedge(service, customer, now).isEmpty()) {
                    hedges.add(event);
                    extras.add(event);
                    assertTrue(count(hedges, from, now, "", "") <= 0.05 * count(requests, from - BUCKET, now, "", ""));
                    assertTrue(count(hedges, from, now, service, "")
                            <= 0.08 * count(requests, from - BUCKET, now, service, ""));
                    assertTrue(count(hedges, from, now, "", customer)
                            <= 0.1 * count(requests, from - BUCKET, now, "", customer));
                } else if (choice == 1 && retries.tryRetry(service, now)) {
                    extras.add(event);
                } else if (choice > 1) {
                    requests.add(event);
                    retries.recordRequest(service, now);
                    budget.recordRequest(service, customer, now);
                    continue;
                } else {
                    continue;
                }
                assertTrue(count(extras, from, now, service, "")
                        <= 0.2 * count(requests, from - BUCKET, now, service, "") + 5);
            }
            assertFalse(hedges.isEmpty());
            assertTrue(extras.size() > hedges.size());
        }
    }
}
