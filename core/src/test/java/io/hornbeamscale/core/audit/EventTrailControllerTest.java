package io.hornbeamscale.core.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against audit events that are lost or recorded twice, and against one store write per event. */
class EventTrailControllerTest {
    private SimulatedStore store = new SimulatedStore(1_000_000);
    private long oldestNumber;

    private static AuditEvent event(String node, int number) {
        return new AuditEvent(AuditEvent.Kind.RESTART, node, number, "event-" + number, "");
    }

    private List<String> subjects(String node) {
        List<String> subjects = new ArrayList<>();
        for (String key : EventTrailController.keys()) {
            List<List<String>> segments = new ArrayList<>();
            for (String at = key; !at.isEmpty() && store.value(at) != null; ) {
                Trail<EventBatch> trail = EventTrailController.decode(store.value(at));
                List<String> part = new ArrayList<>();
                long oldest = segments.isEmpty() ? Long.MAX_VALUE : oldestNumber;
                for (EventBatch batch : trail.entries()) {
                    if (batch.number() < oldest) {
                        batch.events().stream()
                                .filter(event -> event.node().equals(node))
                                .forEach(event -> part.add(event.subject()));
                    }
                }
                oldestNumber = trail.entries().get(0).number();
                segments.add(0, part);
                at = trail.previous();
            }
            segments.forEach(subjects::addAll);
        }
        return subjects;
    }

    @Nested
    class Batches {
        @Test
        void needTwoStoreCallsForManyEvents() {
            EventTrailController trail = new EventTrailController("n/1", TrailLimits.STORE, new Random(3));
            for (int i = 0; i < 150; i++) {
                trail.record(event("n/1", i), i);
            }
            assertTrue(trail.tick(200).isEmpty());
            Optional<StoreCall> call = trail.tick(EventTrailController.FLUSH_MILLIS);
            while (call.isPresent()) {
                call = trail.onReply(store.apply(call.get()), EventTrailController.FLUSH_MILLIS);
            }
            assertEquals(2, store.calls());
            assertEquals(150, subjects("n/1").size());
        }

        @Test
        void recordHowManyEventsWereDropped() {
            EventTrailController trail = new EventTrailController("n/1", TrailLimits.STORE, new Random(3));
            for (int i = 0; i < EventTrailController.MAX_WAITING_EVENTS + 5; i++) {
                trail.record(event("n/1", i), i);
            }
            assertEquals(5, trail.dropped());
            Optional<StoreCall> call = trail.tick(2_000);
            while (call.isPresent()) {
                call = trail.onReply(store.apply(call.get()), 2_000);
            }
            String value = EventTrailController.keys().stream()
                    .map(store::value)
                    .filter(text -> text != null)
                    .findFirst()
                    .orElseThrow();
            assertTrue(value.contains("5 events dropped"));
        }
    }

    @Nested
    class Races {
        private static final int NODES = 3;
        private static final int EVENTS = 40;

        @Test
        void recordEachEventOnceAndInOrder() {
            for (long seed = 0; seed < 500; seed++) {
                recordConcurrently(seed);
            }
        }

        private void recordConcurrently(long seed) {
            SimulatedStore fresh = new SimulatedStore(1_000_000);
            Random random = new Random(seed);
            TrailLimits small = new TrailLimits(2, 60_000, 1_000_000);
            List<EventTrailController> trails = new ArrayList<>();
            List<Optional<StoreCall>> calls = new ArrayList<>();
            List<StoreCall> delayedCalls = new ArrayList<>();
            int[] recorded = new int[NODES];
            for (int i = 0; i < NODES; i++) {
                // "Aa" and "BB" have the same hash code, so all nodes write to the same key.
                trails.add(
                        new EventTrailController(List.of("AaAa", "BBBB", "AaBB").get(i), small, random));
                calls.add(Optional.empty());
            }
            long now = 0;
            for (int step = 0; step < 4_000; step++) {
                now += random.nextInt(2_000);
                int i = random.nextInt(NODES);
                boolean isWithoutFaults = step > 3_000;
                if (recorded[i] < EVENTS && random.nextInt(3) == 0) {
                    trails.get(i).record(event("node-" + i, recorded[i]++), now);
                }
                if (!delayedCalls.isEmpty() && (isWithoutFaults || random.nextInt(5) == 0)) {
                    fresh.apply(delayedCalls.remove(0));
                }
                if (calls.get(i).isEmpty()) {
                    calls.set(i, trails.get(i).tick(now));
                    continue;
                }
                StoreCall call = calls.get(i).get();
                int fault = isWithoutFaults ? 9 : random.nextInt(10);
                StoreReply reply = new StoreReply.NoAnswer(call.key());
                if (fault == 1) {
                    fresh.apply(call);
                } else if (fault == 2) {
                    delayedCalls.add(call);
                } else if (fault > 2) {
                    reply = fresh.apply(call);
                }
                calls.set(i, trails.get(i).onReply(reply, now));
            }
            store = fresh;
            for (int i = 0; i < NODES; i++) {
                List<String> expected = new ArrayList<>();
                for (int n = 0; n < EVENTS; n++) {
                    expected.add("event-" + n);
                }
                assertEquals(expected, subjects("node-" + i), "seed " + seed);
            }
        }
    }
}
