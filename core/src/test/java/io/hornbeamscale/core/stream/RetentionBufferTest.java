package io.hornbeamscale.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against output that cannot be resumed within its retention time, and against unbounded retention. */
class RetentionBufferTest {
    private static final GenerationId GEN = new GenerationId(new BackendId("runner-1"), 3, 8);
    private static final CustomerId OWNER = new CustomerId("owner");
    private static final GenerationReader READER = reader("entry-1", "r1");
    private static final GenerationReader OTHER = reader("entry-2", "r2");
    private static final RetentionLimits LIMITS = new RetentionLimits(1_000, 400, 500, 1 << 20);

    private static GenerationReader reader(String entry, String request) {
        return new GenerationReader(new NodeId(entry), new AttemptId(new RequestId(request), 1));
    }

    private static RetentionBuffer running() {
        RetentionBuffer buffer = new RetentionBuffer(LIMITS, false);
        buffer.started(GEN, OWNER, READER, 0);
        buffer.tokens(GEN, 0, List.of("a", "b", "c"), 1);
        return buffer;
    }

    private static RetentionAction refusal(ErrorKind kind, long offset) {
        return new RetentionAction.SendFailed(OTHER, GEN, kind, RunOutcome.RAN, offset);
    }

    @Nested
    class Resume {
        @Test
        void sendsFromTheOffsetAndThenNewTokens() {
            RetentionBuffer buffer = running();
            assertEquals(
                    List.of(new RetentionAction.SendTokens(OTHER, GEN, 1, List.of("b", "c"))),
                    buffer.resume(GEN, OWNER, OTHER, 1, 2));
            buffer.entryConnectionLost(READER.entry(), 3);
            assertEquals(
                    List.of(new RetentionAction.SendTokens(OTHER, GEN, 3, List.of("d"))),
                    buffer.tokens(GEN, 3, List.of("d"), 4));
            assertEquals(List.of(new RetentionAction.SendEnd(OTHER, GEN, 4, "stop")), buffer.ended(GEN, 4, "stop", 5));
        }

        @Test
        void hidesOtherCustomersGenerations() {
            assertEquals(
                    List.of(refusal(ErrorKind.STREAM_EXPIRED, 0)),
                    running().resume(GEN, new CustomerId("thief"), OTHER, 0, 2));
        }

        @Test
        void refusesOffsetsBeyondTheEnd() {
            RetentionBuffer buffer = running();
            buffer.ended(GEN, 3, "stop", 2);
            assertEquals(List.of(refusal(ErrorKind.BAD_REQUEST, 4)), buffer.resume(GEN, OWNER, OTHER, 4, 3));
        }

        @Test
        void doesNotAnswerWhileARestartedAgentRebuilds() {
            RetentionBuffer buffer = new RetentionBuffer(LIMITS, true);
            assertEquals(List.of(), buffer.resume(GEN, OWNER, OTHER, 2, 1));
            buffer.reattached(GEN, OWNER, 2);
            buffer.rebuildCompleted(2);
            assertEquals(
                    List.of(new RetentionAction.SendTokens(OTHER, GEN, 2, List.of())),
                    buffer.resume(GEN, OWNER, OTHER, 2, 3));
            assertEquals(
                    List.of(new RetentionAction.SendTokens(OTHER, GEN, 2, List.of("c"))),
                    buffer.tokens(GEN, 0, List.of("a", "b", "c"), 4));
        }
    }

    @Nested
    class Tokens {
        @Test
        void asksTheEngineForMissingTokens() {
            RetentionBuffer buffer = running();
            assertEquals(
                    List.of(new RetentionAction.ReattachGeneration(GEN, 3)), buffer.tokens(GEN, 5, List.of("f"), 2));
            assertEquals(
                    List.of(new RetentionAction.SendTokens(READER, GEN, 3, List.of("d", "e", "f"))),
                    buffer.tokens(GEN, 2, List.of("c", "d", "e", "f"), 3));
        }

        @Test
        void splitsFramesBySize() {
            RetentionBuffer buffer = new RetentionBuffer(new RetentionLimits(1, 1, 1, 8), false);
            buffer.started(GEN, OWNER, READER, 0);
            assertEquals(
                    3, buffer.tokens(GEN, 0, List.of("aaaa", "bbbb", "cccc"), 1).size());
        }
    }

    @Nested
    class Limits {
        @Test
        void dropsEndedOutputAfterTheRetentionTime() {
            RetentionBuffer buffer = running();
            buffer.ended(GEN, 3, "stop", 2);
            buffer.tick(1_001);
            assertTrue(buffer.isHeld(GEN));
            buffer.tick(1_002);
            assertFalse(buffer.isHeld(GEN));
            assertEquals(0, buffer.endedBytes());
        }

        @Test
        void dropsAcknowledgedOutputFirst() {
            RetentionBuffer buffer = running();
            buffer.ended(GEN, 3, "stop", 2);
            GenerationId second = new GenerationId(new BackendId("runner-1"), 3, 9);
            buffer.started(second, OWNER, READER, 3);
            buffer.tokens(second, 0, List.of("a", "b", "c", "d"), 4);
            buffer.acknowledged(second, 4, 5);
            buffer.ended(second, 4, "stop", 6);
            assertTrue(buffer.isHeld(GEN));
            assertFalse(buffer.isHeld(second));
            assertEquals(1, buffer.evicted());
        }

        @Test
        void cancelsAGenerationThatIsNotResumedInTime() {
            RetentionBuffer buffer = running();
            buffer.entryConnectionLost(READER.entry(), 10);
            assertEquals(List.of(), buffer.tick(509));
            assertEquals(List.of(new RetentionAction.CancelGeneration(GEN)), buffer.tick(510));
        }
    }
}
