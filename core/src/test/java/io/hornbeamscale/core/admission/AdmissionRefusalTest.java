package io.hornbeamscale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that wait although they cannot be served in time, and against refused callers that return
 * together or before there is capacity.
 */
class AdmissionRefusalTest {
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

    private Optional<Long> offer(String item, AdmissionRequest request, long now) {
        return queue.offer(item, request, 30, random, now);
    }

    private Optional<Long> offerToOneServer(String item, AdmissionRequest request) {
        return queue.offer(item, request, 1, random, request.arrivedAtMillis());
    }

    /** Places the requests that the test names, as if they had found room. */
    private void runs(AdmissionRequest request, int count, long now) {
        for (int i = 0; i < count; i++) {
            queue.placed(request.customer() + request.route() + i + "@" + now, request, now);
        }
    }

    @Nested
    class RefusalOnArrival {
        /** One server processes 7 prompt tokens per millisecond, so each of these requests takes 400 ms. */
        @Test
        void comesIfPromptsAheadTakeUntilTheObjective() {
            int accepted = 0;
            while (offerToOneServer("r" + accepted, request(0, 0)).isEmpty()) {
                accepted++;
            }
            // The first event comes 400 ms after the placement, so the third one is placed in time.
            assertEquals(3, accepted);
            assertEquals(List.of(AdmissionEvent.REFUSED_EARLY), events);
        }

        @Test
        void comesEarlierIfALimitLeavesPartOfAServer() {
            assertTrue(queue.offer("first", request(0, 0), 0.125, random, 0).isEmpty());
            long retry = queue.offer("second", request(0, 0), 0.125, random, 0).orElseThrow();
            // The prompt ahead takes 3,200 ms, but callers follow 2,000 ms.
            assertTrue(retry >= 1_400 && retry <= 2_000, Long.toString(retry));
        }

        @Test
        void comesLaterWithMoreServers() {
            int accepted = 0;
            while (queue.offer("r" + accepted, request(0, 0), 4, random, 0).isEmpty()) {
                accepted++;
            }
            assertEquals(12, accepted);
        }

        @Test
        void countsOnlyRequestsAhead() {
            for (int i = 0; i < 3; i++) {
                offerToOneServer("r" + i, request(1, 0));
            }
            assertEquals(Optional.empty(), offerToOneServer("urgent", request(0, 0)));
        }

        /** Two long responses of 5.4 s run here, so this entry gets memory for one every 2.7 s. */
        @Test
        void comesIfMemoryIsNotFreedBeforeTheObjective() {
            runs(request(0, 0), 2, 0);
            assertEquals(Optional.empty(), offer("first", request(0, 0), 0));
            assertTrue(offer("second", request(0, 0), 0).isPresent());
        }

        @Test
        void doesNotComeForALongOneBeforeAShortOne() {
            runs(request(0, 0), 2, 0);
            offer("long", request(0, 0), 0);
            assertEquals(Optional.empty(), offer("short", shortRequest(0, 0), 0));
        }

        @Test
        void takesTheElapsedWaitIntoAccount() {
            assertTrue(request(0, 0).maxWaitMillis(3_100) < 0);
            assertEquals(2_400, request(0, 0).maxWaitMillis(0));
            assertTrue(offer("late", request(0, 0), 3_100).isPresent());
        }

        /** A server refused the request, so its admission gave no capacity. */
        @Test
        void doesNotComeForARequestThatAServerSentBack() {
            AdmissionRequest request = request(0, 0);
            queue.placed("r", request, 0);
            assertEquals(Optional.empty(), offer("r", request, 100));
            assertEquals(List.of("r"), queue.inOrder(100));
        }
    }

    @Nested
    class RefusalWhileWaiting {
        @Test
        void comesAtTheLimit() {
            offer("a", request(0, 0), 0);
            assertEquals(List.of(), queue.refusals(random, 2_399));
            List<AdmissionQueue.Refusal<String>> refused = queue.refusals(random, 2_400);
            assertEquals("a", refused.get(0).item());
            assertTrue(queue.isEmpty());
        }

        /** A more urgent request arrives, and the last of the others would wait until its deadline in vain. */
        @Test
        void comesAtOnceIfBetterRequestsTakeTheCapacity() {
            runs(request(0, 0), 8, 0);
            offer("first", request(4, 0), 0);
            assertEquals(Optional.empty(), offer("second", request(4, 0), 0));
            assertEquals(List.of(), queue.refusals(random, 1_000));
            offer("urgent", request(0, 1_000), 1_000);
            List<String> refused = queue.refusals(random, 1_000).stream()
                    .map(AdmissionQueue.Refusal::item)
                    .toList();
            assertEquals(List.of("second"), refused);
            assertEquals(List.of("urgent", "first"), queue.inOrder(1_000));
            assertTrue(events.contains(AdmissionEvent.REFUSED_WAITING));
        }
    }

    @Nested
    class RetryAfter {
        private static AdmissionRequest request(long deadline) {
            return new AdmissionRequest("engines", "chat", "a", 0, 2_800, 700, 0, OBJECTIVE_MILLIS, deadline, false);
        }

        /** Refuses a request whose wait has ended, as of a time. */
        private long refuse(AdmissionRequest request, long now) {
            return offer("refused", request, now).orElseThrow();
        }

        /** Callers follow a third of their remaining time. */
        @Test
        void isNeverLongerThanCallersFollow() {
            runs(request(6_000), 1, 0);
            for (int i = 0; i < 50; i++) {
                assertTrue(refuse(request(6_100), 3_100) <= 1_000);
            }
            assertEquals(0, refuse(request(6_000), 7_000));
        }

        /** All callers that were refused in a burst came back together. */
        @Test
        void isLaterForEachFurtherCaller() {
            runs(request(60_000), 12, 0);
            long first = refuse(request(60_000), 3_100);
            for (int i = 0; i < 8; i++) {
                refuse(request(60_000), 3_100);
            }
            assertTrue(refuse(request(60_000), 3_100) > 5 * first);
        }

        @Test
        void isTheTimeAtWhichCapacityComes() {
            runs(request(60_000), 12, 0);
            double millis = request(0).durationMillis() / 12;
            long retry = refuse(request(60_000), 3_100);
            assertTrue(retry >= (long) millis && retry <= 1.3 * millis, retry + " for " + millis);
        }

        /** The prompts of 3 requests ahead take 1,200 ms at one server. */
        @Test
        void isTheTimeForThePromptsAheadIfNothingElseIsKnown() {
            for (int i = 0; i < 3; i++) {
                offerToOneServer("r" + i, request(6_000));
            }
            long retry = offerToOneServer("refused", request(6_000)).orElseThrow();
            assertTrue(retry >= 1_200 && retry <= 1.3 * 1_200, Long.toString(retry));
        }
    }
}
