package io.hornbeamscale.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.RequestId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against truncated responses in a graceful stop, and against time spent on work that cannot finish before a
 * reclaim.
 */
class DrainControllerTest {
    private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r1"), 1);

    private static RunningWork work(boolean isDelivered, boolean isRepeatable, long remainingMillis) {
        return new RunningWork(ATTEMPT, isDelivered, isRepeatable, remainingMillis, isDelivered ? 9 : 0);
    }

    @Nested
    class Leaving {
        @Test
        void stopsNewWorkWithTheFirstReason() {
            DrainController drain = new DrainController(60_000);
            assertEquals(
                    List.of(new DrainAction.StopNewWork(), new DrainAction.Announce(DrainReason.LISTED_AS_LEAVING)),
                    drain.leaving(DrainReason.LISTED_AS_LEAVING, 5));
            assertEquals(List.of(), drain.leaving(DrainReason.STOP_REQUESTED, 6));
            assertTrue(drain.isDraining());
            assertEquals(5, drain.drainStartMillis());
        }

        @Test
        void waitsForResponsesAndTheirAcknowledgement() {
            DrainController drain = new DrainController(60_000);
            drain.leaving(DrainReason.STOP_REQUESTED, 0);
            assertEquals(List.of(), drain.progress(List.of(work(true, true, 1_000_000)), 0, 59_999));
            assertEquals(List.of(), drain.progress(List.of(), 1, 59_999));
            assertEquals(List.of(new DrainAction.Exit(true)), drain.progress(List.of(), 0, 59_999));
        }

        @Test
        void endsWorkWithItsOutcomeAtTheLimit() {
            DrainController drain = new DrainController(1_000);
            drain.leaving(DrainReason.STOP_REQUESTED, 0);
            List<RunningWork> running = List.of(work(true, true, 10));
            assertEquals(
                    List.of(new DrainAction.EndWork(ATTEMPT, ErrorKind.GENERATION_LOST, RunOutcome.RAN, 9)),
                    drain.progress(running, 0, 1_000));
            assertEquals(List.of(new DrainAction.Exit(false)), drain.progress(running, 0, 1_001));
        }
    }

    @Nested
    class AtAnEntry {
        @Test
        void endsStreamsAsResumableElsewhere() {
            DrainController drain = new DrainController(1_000, true);
            drain.leaving(DrainReason.STOP_REQUESTED, 0);
            assertEquals(
                    List.of(new DrainAction.EndWork(ATTEMPT, ErrorKind.DRAINING, RunOutcome.RAN, 9)),
                    drain.progress(List.of(work(true, true, 10)), 0, 1_000));
        }
    }

    @Nested
    class Reclaim {
        @Test
        void retriesUndeliveredWorkThatCannotFinish() {
            DrainController drain = new DrainController(60_000);
            drain.reclaim(10_000, 0);
            assertEquals(List.of(), drain.progress(List.of(work(false, true, 9_000)), 0, 1));
            assertEquals(
                    List.of(new DrainAction.RunElsewhere(ATTEMPT)),
                    drain.progress(List.of(work(false, true, 9_500)), 0, 1));
        }

        @Test
        void endsDeliveredWorkThatCannotFinish() {
            DrainController drain = new DrainController(60_000);
            drain.reclaim(10_000, 0);
            assertEquals(
                    List.of(new DrainAction.EndWork(ATTEMPT, ErrorKind.GENERATION_LOST, RunOutcome.RAN, 9)),
                    drain.progress(List.of(work(true, true, 20_000)), 0, 1));
        }

        @Test
        void keepsCallsThatMustNotBeRepeatedUntilTheDeadline() {
            DrainController drain = new DrainController(60_000);
            drain.reclaim(10_000, 0);
            List<RunningWork> running = List.of(work(false, false, 60_000));
            assertEquals(List.of(), drain.progress(running, 0, 9_499));
            assertEquals(
                    List.of(new DrainAction.EndWork(ATTEMPT, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, 0)),
                    drain.progress(running, 0, 9_500));
        }
    }
}
