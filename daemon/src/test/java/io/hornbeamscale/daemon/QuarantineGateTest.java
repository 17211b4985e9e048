package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.claim.DuplicateProtection;
import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.QuarantineMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request that crashes one engine after another, and against refusing other requests that were in
 * flight at the same time.
 */
class QuarantineGateTest {
    private final TestEntry first = new TestEntry();
    private final TestEntry second = new TestEntry();
    private long now;

    QuarantineGateTest() {
        first.peer = second;
        second.peer = first;
    }

    private static EntryRequest request(String id, String body) {
        return request(id, body, List.of());
    }

    private static EntryRequest request(String id, String body, List<RequestFingerprint> content) {
        WorkItem work = new WorkItem(
                new RequestId(id),
                new ServiceId("s"),
                new CustomerId("c"),
                "k",
                1,
                1,
                1,
                List.of(),
                0,
                1_000,
                true,
                false,
                false,
                "m");
        BackendCall call =
                new BackendCall("POST", "/v1/completions", Map.of(), Payload.of(body.getBytes(StandardCharsets.UTF_8)));
        return new EntryRequest(work, call, false, false, "", DuplicateProtection.REPEATABLE, content);
    }

    /** Simulates the crash of an engine that runs the requests; its agent reports it twice to the first entry. */
    private void crash(String backend, EntryRequest... requests) {
        CrashTracker reports = new CrashTracker(new BackendId(backend), 1);
        List<GenerationId> generations = new ArrayList<>();
        for (EntryRequest r : requests) {
            GenerationId generation = new GenerationId(new BackendId(backend), 1, generations.size());
            generations.add(generation);
            reports.started(new AgentAction.StartCall(generation, r.work(), r.call()), now);
        }
        List<Long> crashes = new ArrayList<>();
        generations.forEach(g -> reports.generationLost(g, now, crashes::add));
        assertEquals(1, crashes.size(), "one crash, regardless of the number of lost generations");
        now += 10;
        first.gate.crashesReported(reports.encodeRecent(now), now);
        first.gate.crashesReported(reports.encodeRecent(now), now);
    }

    @Nested
    class Crashes {
        private final EntryRequest poison = request("r1", "poison");
        private final EntryRequest other = request("r2", "other");
        private final EntryRequest third = request("r3", "third");

        @Test
        void quarantineTheRequestThatWasInFlightTwice() {
            assertTrue(first.gate.tryAdmit(poison, now));
            crash("runner-1", poison, other);
            assertTrue(first.gate.tryAdmit(poison, now), "one crash does not quarantine a request");
            assertTrue(first.gate.markSuspect(poison.work(), now).isSuspect());
            assertTrue(first.gate.tryAdmit(third, now));
            assertFalse(first.gate.markSuspect(third.work(), now).isSuspect());
            crash("runner-2", poison, third);
            assertEquals(List.of(new RequestId("r1")), first.refused);
            assertFalse(first.gate.tryAdmit(request("r4", "poison"), now), "a resend is refused");
            assertTrue(first.gate.tryAdmit(other, now), "another request in flight at the same crash is not refused");
            assertTrue(first.gate.tryAdmit(third, now), "another request in flight at the same crash is not refused");
        }

        @Test
        void areReportedToTheOtherEntry() {
            crash("runner-1", poison, other);
            crash("runner-2", poison, third);
            assertFalse(second.gate.tryAdmit(request("r5", "poison"), now));
            assertTrue(second.gate.tryAdmit(other, now));
        }

        @Test
        void countOnceForAllGenerationsThatAreLost() {
            crash("runner-1", poison, other, third);
            assertTrue(first.gate.tryAdmit(poison, now));
            assertTrue(first.gate.tryAdmit(other, now));
        }
    }

    /** Requests of different bodies that share passages of their prompts. */
    @Nested
    class SharedContent {
        private static final String SOUND = "You answer questions about porch lights.";
        private static final String CRASHING = "A passage that crashes every engine.";

        private EntryRequest request(String id, String... passages) {
            String prompt = String.join("\n\n", passages) + "\n\nQuestion " + id;
            return QuarantineGateTest.request(id, prompt, PromptPassages.of("m", prompt));
        }

        private void crashSeveralEngines(String... passages) {
            for (int i = 0; i < 3; i++) {
                EntryRequest request = request("r" + i, passages);
                assertTrue(first.gate.tryAdmit(request, now), "request " + i);
                crash("runner-" + i, request);
                now += 1_000;
            }
        }

        @Test
        void thatCrashesEnginesIsRefusedAtEveryEntry() {
            crashSeveralEngines(SOUND, CRASHING);
            assertFalse(first.gate.tryAdmit(request("r7", SOUND, CRASHING), now));
            assertFalse(second.gate.tryAdmit(request("r8", CRASHING), now));
        }

        @Test
        void thatOthersUseIsNotRefused() {
            assertTrue(first.gate.tryAdmit(request("r6", SOUND), now));
            first.gate.completed(new RequestId("r6"), now);
            crashSeveralEngines(CRASHING, SOUND);
            assertTrue(first.gate.tryAdmit(request("r7", SOUND), now));
            assertFalse(first.gate.tryAdmit(request("r8", CRASHING), now));
        }

        @Test
        void isClearedOnceTokensHaveArrivedForAWhile() {
            assertTrue(first.gate.tryAdmit(request("long", SOUND), now));
            for (int i = 0; i < 3; i++) {
                EntryRequest request = request("r" + i, SOUND);
                assertTrue(first.gate.tryAdmit(request, now));
                first.gate.tokensReceived(new RequestId("r" + i), now);
                now += 300;
                first.gate.tokensReceived(new RequestId("r" + i), now);
                crash("runner-" + i, request);
                now += 1_000;
            }
            assertTrue(first.gate.tryAdmit(request("r7", SOUND), now));
        }

        @Test
        void endsOpenRequestsThatHaveNotAdvanced() {
            assertTrue(first.gate.tryAdmit(request("waiting", CRASHING), now));
            crashSeveralEngines(CRASHING);
            assertTrue(first.refused.contains(new RequestId("waiting")));
        }
    }

    @Nested
    class Received {
        @ParameterizedTest
        @ValueSource(strings = {"", "{", "{}", "[]", "{\"reports\":[{}],\"cleared\":[],\"convictions\":[]}"})
        void refusesMalformedUpdate(String content) {
            ServingException e = assertThrows(
                    ServingException.class, () -> first.gate.received(new QuarantineMessage("news", content), now));
            assertEquals(ErrorKind.BAD_FRAME, e.kind());
        }
    }

    /** The gate of one entry. Its updates reach the other entry immediately. */
    private final class TestEntry implements QuarantineGate.Host {
        final QuarantineGate gate =
                new QuarantineGate(new QuarantineController(3_600_000, 0, new SplittableRandom(1)), this);
        final List<RequestId> refused = new ArrayList<>();
        TestEntry peer;

        @Override
        public void callStore(StoreCall call) {
            // The store does not answer.
        }

        @Override
        public void sendPeers(Message message) {
            peer.gate.received((QuarantineMessage) message, now);
        }

        @Override
        public void refuse(RequestId request) {
            refused.add(request);
        }
    }
}
