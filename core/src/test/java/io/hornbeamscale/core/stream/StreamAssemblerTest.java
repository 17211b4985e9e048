package io.hornbeamscale.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against missing or repeated tokens, tokens of another generation, and unreported changes of generation. */
class StreamAssemblerTest {
    private static final BackendId RUNNER = new BackendId("runner-1");
    private static final AttemptId FIRST = new AttemptId(new RequestId("r1"), 1);
    private static final GenerationId GEN = StreamAssembler.generationOf(RUNNER, new GrantId(3, 8));
    private static final GenerationId NEXT_GEN = StreamAssembler.generationOf(RUNNER, new GrantId(3, 9));

    private static StreamAssembler started(DeliveryMode mode, boolean isRepeatable) {
        StreamAssembler assembler = new StreamAssembler(mode, isRepeatable);
        assembler.handedOver(FIRST, GEN, 0);
        return assembler;
    }

    @Nested
    class Tokens {
        @Test
        void deliversOnlyNewTokens() {
            StreamAssembler assembler = started(DeliveryMode.STREAM, true);
            assembler.tokens(FIRST, GEN, 0, List.of("a", "b"), 1);
            assertEquals(
                    List.of(new StreamAction.Deliver(new EventId(GEN, 3), List.of("c"))),
                    assembler.tokens(FIRST, GEN, 1, List.of("b", "c"), 2));
            assertEquals(1, assembler.repeatedTokens());
        }

        @Test
        void requestsMissingTokensOnceUntilTheRetry() {
            StreamAssembler assembler = started(DeliveryMode.STREAM, true);
            assertEquals(
                    List.of(new StreamAction.SendResume(GEN, 0)), assembler.tokens(FIRST, GEN, 2, List.of("c"), 1));
            assertEquals(List.of(), assembler.tokens(FIRST, GEN, 3, List.of("d"), 2));
            assertEquals(
                    List.of(new StreamAction.SendResume(GEN, 0)),
                    assembler.tick(1 + StreamAssembler.RESUME_RETRY_MILLIS));
        }

        @Test
        void requestsAgainIfAnOldFrameHidALostResumption() {
            StreamAssembler assembler = started(DeliveryMode.WHOLE, true);
            assembler.connectionLost(RUNNER, 1);
            assembler.tokens(FIRST, GEN, 0, List.of("a"), 2);
            assertEquals(List.of(), assembler.tick(1 + StreamAssembler.IDLE_TIMEOUT_MILLIS));
            assertEquals(
                    List.of(new StreamAction.SendResume(GEN, 1)),
                    assembler.tick(2 + StreamAssembler.IDLE_TIMEOUT_MILLIS));
        }

        @Test
        void keepsASlowGenerationWhoseAgentAnswers() {
            StreamAssembler assembler = started(DeliveryMode.STREAM, true);
            for (long now = 0; now < 10 * StreamAssembler.RESUME_TIMEOUT_MILLIS; now += 1_000) {
                for (StreamAction action : assembler.tick(now)) {
                    assertEquals(new StreamAction.SendResume(GEN, 0), action);
                    assembler.tokens(FIRST, GEN, 0, List.of(), now + 1);
                }
            }
            assertEquals(
                    1, assembler.tokens(FIRST, GEN, 0, List.of("a"), 900_000).size());
        }

        @Test
        void dropsFramesOfAnotherAttemptOrGeneration() {
            StreamAssembler assembler = started(DeliveryMode.STREAM, true);
            assertEquals(List.of(), assembler.tokens(FIRST, NEXT_GEN, 0, List.of("x"), 1));
            assertEquals(List.of(), assembler.tokens(FIRST.next(), GEN, 0, List.of("x"), 1));
            assertEquals(List.of(), assembler.ended(FIRST, NEXT_GEN, 0, "stop", 1));
            assertEquals(3, assembler.mismatchedFrames());
        }
    }

    @Nested
    class Ended {
        @Test
        void waitsForMissingTokens() {
            StreamAssembler assembler = started(DeliveryMode.WHOLE, true);
            assertEquals(List.of(new StreamAction.SendResume(GEN, 0)), assembler.ended(FIRST, GEN, 2, "stop", 1));
            List<StreamAction> actions = assembler.tokens(FIRST, GEN, 0, List.of("a", "b"), 2);
            assertEquals(new StreamAction.DeliverWhole(GEN, List.of("a", "b"), "stop"), actions.get(0));
            assertTrue(assembler.isClosed());
        }
    }

    @Nested
    class Failed {
        @ParameterizedTest
        @CsvSource({
            // mode, repeatable, tokens before the failure, expected action
            "STREAM, true, 0, Retry",
            "STREAM, true, 2, DeliverError",
            "STREAM_OR_RESTART, true, 2, DeliverRestart",
            "WHOLE, true, 2, Retry",
            "WHOLE, false, 0, DeliverError",
        })
        void retriesOrFailsByMode(DeliveryMode mode, boolean isRepeatable, int tokens, String expected) {
            StreamAssembler assembler = started(mode, isRepeatable);
            if (tokens > 0) {
                assembler.tokens(FIRST, GEN, 0, List.of("a", "b"), 1);
            }
            List<StreamAction> actions = assembler.failed(FIRST, GEN, ErrorKind.BACKEND_FAILED, RunOutcome.RAN, 2);
            assertEquals(expected, actions.get(0).getClass().getSimpleName());
        }

        @Test
        void neverMixesTwoGenerations() {
            StreamAssembler assembler = started(DeliveryMode.WHOLE, true);
            assembler.tokens(FIRST, GEN, 0, List.of("a"), 1);
            assembler.failed(FIRST, GEN, ErrorKind.GENERATION_LOST, RunOutcome.RAN, 2);
            assembler.handedOver(FIRST.next(), NEXT_GEN, 3);
            assembler.tokens(FIRST, GEN, 1, List.of("b"), 4);
            assembler.tokens(FIRST.next(), NEXT_GEN, 0, List.of("x", "y"), 5);
            assertEquals(
                    new StreamAction.DeliverWhole(NEXT_GEN, List.of("x", "y"), "stop"),
                    assembler.ended(FIRST.next(), NEXT_GEN, 2, "stop", 6).get(0));
        }

        @Test
        void endsAStreamWhoseResumptionIsNotAnswered() {
            StreamAssembler assembler = started(DeliveryMode.STREAM, true);
            assembler.tokens(FIRST, GEN, 0, List.of("a"), 1);
            assembler.connectionLost(RUNNER, 2);
            assertEquals(
                    List.of(new StreamAction.DeliverError(ErrorKind.GENERATION_LOST, RunOutcome.RAN, 1)),
                    assembler.tick(2 + StreamAssembler.RESUME_TIMEOUT_MILLIS));
        }
    }
}
