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

/** Guards against a request that goes on crashing engines, and against refusing requests that ran beside it. */
class QuarantineGateTest {
    private final Entry first = new Entry();
    private final Entry second = new Entry();
    private long now;

    QuarantineGateTest() {
        first.peer = second;
        second.peer = first;
    }

    private static EntryRequest request(String id, String body) {
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
        return new EntryRequest(work, call, false, false, "", DuplicateProtection.REPEATABLE);
    }

    /** Lets an engine crash while it runs the requests, and tells the first entry by its agent's status texts. */
    private void crash(String backend, EntryRequest... requests) {
        CrashReports reports = new CrashReports(new BackendId(backend), 1);
        List<GenerationId> generations = new ArrayList<>();
        for (EntryRequest r : requests) {
            GenerationId generation = new GenerationId(new BackendId(backend), 1, generations.size());
            generations.add(generation);
            reports.started(new AgentAction.StartCall(generation, r.work(), r.call()), now);
        }
        List<Long> crashes = new ArrayList<>();
        generations.forEach(g -> reports.lost(g, now, crashes::add));
        assertEquals(1, crashes.size(), "one crash, however many generations are lost");
        now += 10;
        first.gate.reported(reports.texts(now), now);
        first.gate.reported(reports.texts(now), now);
    }

    @Nested
    class Crashes {
        private final EntryRequest poison = request("r1", "poison");
        private final EntryRequest other = request("r2", "other");
        private final EntryRequest third = request("r3", "third");

        @Test
        void quarantineTheRequestThatWasInFlightTwice() {
            assertTrue(first.gate.admits(poison, now));
            crash("runner-1", poison, other);
            assertTrue(first.gate.admits(poison, now), "one crash quarantines no request");
            assertTrue(first.gate.mark(poison.work(), now).isSuspect());
            assertTrue(first.gate.admits(third, now));
            assertFalse(first.gate.mark(third.work(), now).isSuspect());
            crash("runner-2", poison, third);
            assertEquals(List.of(new RequestId("r1")), first.refused);
            assertFalse(first.gate.admits(request("r4", "poison"), now), "a resend is refused");
            assertTrue(first.gate.admits(other, now), "a request that ran beside it is not refused");
            assertTrue(first.gate.admits(third, now), "a request that ran beside it is not refused");
        }

        @Test
        void areKnownAtTheOtherEntry() {
            crash("runner-1", poison, other);
            crash("runner-2", poison, third);
            assertFalse(second.gate.admits(request("r5", "poison"), now));
            assertTrue(second.gate.admits(other, now));
        }

        @Test
        void countOnceForAllGenerationsThatAreLost() {
            crash("runner-1", poison, other, third);
            assertTrue(first.gate.admits(poison, now));
            assertTrue(first.gate.admits(other, now));
        }
    }

    @Nested
    class Received {
        @ParameterizedTest
        @ValueSource(strings = {"", "{", "{}", "[]", "{\"reports\":[{}],\"cleared\":[],\"convictions\":[]}"})
        void refusesMalformedNews(String content) {
            ServingException e = assertThrows(
                    ServingException.class, () -> first.gate.received(new QuarantineMessage("news", content), now));
            assertEquals(ErrorKind.BAD_FRAME, e.kind());
        }
    }

    /** One entry's gate; its news reaches the other entry at once. */
    private final class Entry implements QuarantineGate.Host {
        final QuarantineGate gate =
                new QuarantineGate(new QuarantineController(3_600_000, 0, new SplittableRandom(1)), this);
        final List<RequestId> refused = new ArrayList<>();
        Entry peer;

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
