package io.hornbeamscale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that starve, or that wait behind others that should yield to them. */
class AdmissionQueueTest {
    private static final long OBJECTIVE_MILLIS = 1_500;

    private final RandomGenerator random = new Random(7);
    private final List<AdmissionEvent> events = new ArrayList<>();
    private final AdmissionQueue<String> queue = new AdmissionQueue<>(events::add);

    private static AdmissionRequest request(
            String route, String customer, int priority, long expectedTokens, long arrived) {
        return new AdmissionRequest(
                "engines",
                route,
                customer,
                priority,
                2_800,
                expectedTokens,
                arrived,
                OBJECTIVE_MILLIS,
                arrived + 6_000,
                false);
    }

    private static AdmissionRequest request(int priority, long arrived) {
        return request("chat", "a", priority, 700, arrived);
    }

    private static AdmissionRequest shortRequest(int priority, long arrived) {
        return request("complete", "a", priority, 10, arrived);
    }

    private static AdmissionRequest repeat(long arrived) {
        return new AdmissionRequest("engines", "chat", "a", 0, 2_800, 700, arrived, 1_500, arrived + 6_000, true);
    }

    private Optional<Long> offer(String item, AdmissionRequest request, long now) {
        return queue.offer(item, request, 30, random, now);
    }

    /** Places the requests that the test names, as if they had found room. */
    private void runs(AdmissionRequest request, int count, long now) {
        for (int i = 0; i < count; i++) {
            queue.placed(request.customer() + request.route() + i + "@" + now, request, now);
        }
    }

    @Nested
    class Order {
        @Test
        void isByArrivalWithinAPriority() {
            offer("b", request(0, 20), 20);
            offer("a", request(0, 10), 20);
            assertEquals(List.of("a", "b"), queue.inOrder(20));
        }

        @Test
        void prefersTheMoreUrgentPriority() {
            offer("less", request(1, 0), 0);
            offer("urgent", request(0, 100), 100);
            assertEquals(List.of("urgent", "less"), queue.inOrder(100));
        }

        @Test
        void doesNotStarveTheLessUrgentPriority() {
            offer("less", request(1, 0), 0);
            offer("urgent", request(0, WaitingRequest.MILLIS_PER_PRIORITY + 1), 400);
            assertEquals(List.of("less", "urgent"), queue.inOrder(400));
        }

        /** A crest of long responses, beside which short ones waited for memory that they need for a moment. */
        @Test
        void prefersLessMemoryForLessTime() {
            offer("long", request(0, 0), 0);
            offer("short", shortRequest(0, 100), 100);
            assertEquals(List.of("short", "long"), queue.inOrder(100));
        }

        @Test
        void doesNotStarveTheLargestRequests() {
            offer("large", request("chat", "a", 0, 90_000, 0), 0);
            long later = WaitingRequest.MAX_WORK_MILLIS + 1;
            offer("short", shortRequest(0, later), later);
            assertEquals(List.of("large", "short"), queue.inOrder(later));
        }

        /** A response is worth a sixth after its objective, so it yields to one that is worth all. */
        @Test
        void putsLateRequestsAfterTimelyOnes() {
            offer("early", request(0, 0), 0);
            offer("later", request(0, 1_000), 1_000);
            assertEquals(List.of("early", "later"), queue.inOrder(1_100));
            assertEquals(List.of("later", "early"), queue.inOrder(1_101));
        }

        @Test
        void putsRepeatsLast() {
            offer("repeat", repeat(0), 0);
            offer("first attempt", request(3, 500), 500);
            assertEquals(List.of("first attempt", "repeat"), queue.inOrder(500));
            assertTrue(events.contains(AdmissionEvent.REPEAT_DEFERRED));
        }

        @Test
        void forgetsEndedRequests() {
            offer("a", request(0, 0), 0);
            assertEquals(1, queue.size());
            queue.ended("a", 10);
            assertTrue(queue.isEmpty());
            assertEquals(0, queue.size());
        }
    }

    @Nested
    class Fairness {
        private final AdmissionRequest greedy = request("chat", "greedy", 0, 700, 0);
        private final AdmissionRequest modest = request("chat", "modest", 0, 700, 50);

        /** One customer sends 7.5 times its usual load. */
        @Test
        void putsACustomerBehindTheOthersWhileItHasMoreThanItsShare() {
            runs(greedy, 6, 0);
            offer("greedy", greedy, 0);
            offer("modest", modest, 50);
            assertEquals(List.of("modest", "greedy"), queue.inOrder(50));
            queue.placed("modest", modest, 60);
            assertTrue(events.contains(AdmissionEvent.FAIRNESS_REORDERED));
        }

        @Test
        void lendsUnusedSharesToACustomerThatIsAlone() {
            runs(greedy, 12, 0);
            offer("greedy", greedy, 0);
            assertEquals(Optional.empty(), offer("greedy2", greedy, 10));
            List<String> tried = new ArrayList<>();
            queue.place(tried::add, 20);
            assertEquals(List.of("greedy", "greedy2"), tried);
        }

        @Test
        void countsAgainFromZeroWhenTheWorkHasEnded() {
            runs(greedy, 6, 0);
            for (int i = 0; i < 6; i++) {
                queue.ended("greedychat" + i + "@0", 4_000);
            }
            AdmissionRequest next = request("chat", "greedy", 0, 700, 30_000);
            offer("greedy", next, 30_000);
            offer("modest", request("chat", "modest", 0, 700, 30_050), 30_050);
            assertEquals(List.of("greedy", "modest"), queue.inOrder(30_050));
        }

        /** Public routes name no customer; their callers are not one customer. */
        @Test
        void doesNotApplyToUnknownCustomers() {
            AdmissionRequest unknown = request("chat", "", 0, 700, 0);
            runs(unknown, 12, 0);
            offer("unknown", unknown, 0);
            offer("modest", modest, 50);
            assertEquals(List.of("unknown", "modest"), queue.inOrder(50));
        }
    }

    @Nested
    class RouteFloor {
        /** Short responses of an urgent route arrive faster than they can be served. */
        @Test
        void servesARouteWithoutAdmissionsFirst() {
            runs(shortRequest(0, 0), 20, 0);
            offer("urgent", shortRequest(0, 0), 0);
            offer("other", request("batch", "b", 9, 700, 10), 10);
            assertEquals(List.of("other", "urgent"), queue.inOrder(10));
            queue.placed("other", request("batch", "b", 9, 700, 10), 20);
            assertTrue(events.contains(AdmissionEvent.ROUTE_FLOOR_USED));
        }

        @Test
        void endsWhenTheRouteHasItsShare() {
            runs(shortRequest(0, 0), 20, 0);
            runs(request("batch", "b", 9, 700, 0), 3, 0);
            offer("urgent", shortRequest(0, 0), 0);
            offer("other", request("batch", "b", 9, 700, 10), 10);
            assertEquals(List.of("urgent", "other"), queue.inOrder(10));
        }
    }

    @Nested
    class Arrival {
        @Test
        void isPlacedAtOnceWithoutAQueue() {
            assertTrue(queue.mayPlaceNow(request(5, 0), 0));
        }

        /** A long response that needs memory held back short ones that fit. */
        @Test
        void passesALongOneIfItIsShort() {
            offer("long", request(0, 0), 0);
            assertTrue(queue.mayPlaceNow(shortRequest(5, 10), 10));
            assertEquals(List.of("long"), queue.inOrder(10));
        }

        @Test
        void doesNotPassThoseThatGoBeforeIt() {
            offer("short", shortRequest(0, 0), 0);
            assertFalse(queue.mayPlaceNow(shortRequest(0, 10), 10));
            assertFalse(queue.mayPlaceNow(request(0, 10), 10));
        }

        @Test
        void passesLessUrgentOnes() {
            offer("less", request(3, 0), 0);
            assertTrue(queue.mayPlaceNow(request(0, 10), 10));
        }

        /** A service without room held back requests of services with room. */
        @Test
        void doesNotWaitForAnotherService() {
            offer("short", shortRequest(0, 0), 0);
            AdmissionRequest other =
                    new AdmissionRequest("others", "x", "a", 9, 2_800, 700, 10, OBJECTIVE_MILLIS, 6_010, false);
            assertTrue(queue.mayPlaceNow(other, 10));
        }

        @Test
        void doesNotPassAsARepeat() {
            offer("first attempt", request(3, 0), 0);
            assertFalse(queue.mayPlaceNow(repeat(10), 10));
        }
    }

    @Nested
    class Pass {
        private final List<String> tried = new ArrayList<>();

        private boolean hasNoRoom(String item) {
            tried.add(item);
            return false;
        }

        /** Each try looks at about 30 servers, and passes follow each status message of another entry. */
        @Test
        void isBoundedForEachClass() {
            for (int i = 0; i < 9; i++) {
                offer("long" + i, request(0, 0), 0);
                offer("short" + i, shortRequest(0, 0), 0);
            }
            queue.place(this::hasNoRoom, 10);
            assertEquals(2 * AdmissionQueue.MAX_MISSES, tried.size());
        }

        @Test
        void triesLateRequestsLessOften() {
            offer("late", request(0, 0), 0);
            queue.place(this::hasNoRoom, 1_200);
            queue.place(this::hasNoRoom, 1_200 + AdmissionQueue.LATE_INTERVAL_MILLIS - 1);
            assertEquals(1, tried.size());
            queue.place(this::hasNoRoom, 1_200 + AdmissionQueue.LATE_INTERVAL_MILLIS);
            assertEquals(2, tried.size());
        }

        /** A connect that fails at once put the stream back, and the pass then removed it for good. */
        @Test
        void keepsARequestThatComesBackDuringThePass() {
            AdmissionRequest request = request(0, 0);
            offer("a", request, 0);
            queue.place(
                    item -> {
                        queue.placed(item, request, 10);
                        return offer(item, request, 10).isEmpty();
                    },
                    10);
            assertEquals(List.of("a"), queue.inOrder(10));
        }
    }
}
