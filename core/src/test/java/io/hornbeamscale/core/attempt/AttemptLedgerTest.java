package io.hornbeamscale.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against an attempt that starts after it was reported as never started, and against such a report after a
 * start.
 */
class AttemptLedgerTest {
    private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r1"), 1);
    private static final GrantId GRANT = new GrantId(7, 0);

    private static AttemptLedger granted() {
        AttemptLedger ledger = new AttemptLedger(7, new LedgerLimits(1_000, 128, 1));
        ledger.granted(ATTEMPT, GRANT, 5_000, 0);
        return ledger;
    }

    private static List<LedgerAction> refusal(GrantId grant, RunOutcome outcome) {
        return List.of(new LedgerAction.RefuseStart(ATTEMPT, grant, ErrorKind.GRANT_EXPIRED, outcome));
    }

    private static List<LedgerAction> answer(GrantId grant, AttemptState state) {
        return List.of(new LedgerAction.AnswerRevoke(ATTEMPT, grant, state == AttemptState.NEVER_STARTED, state));
    }

    @Nested
    class Start {
        @Test
        void runsOnce() {
            AttemptLedger ledger = granted();
            assertEquals(List.of(new LedgerAction.Run(ATTEMPT, GRANT)), ledger.start(ATTEMPT, GRANT, 1));
            assertEquals(
                    List.of(new LedgerAction.ReportState(ATTEMPT, GRANT, AttemptState.RUNNING)),
                    ledger.start(ATTEMPT, GRANT, 2));
            ledger.ended(ATTEMPT, GRANT, 3);
            assertEquals(
                    List.of(new LedgerAction.ReportState(ATTEMPT, GRANT, AttemptState.ENDED)),
                    ledger.start(ATTEMPT, GRANT, 400_000));
        }

        @Test
        void refusesAfterTheMaximumGrantLifetime() {
            assertEquals(refusal(GRANT, RunOutcome.NOT_RUN), granted().start(ATTEMPT, GRANT, 1_000));
        }

        @Test
        void refusesGrantsOfOtherIncarnationsWithUnknownOutcome() {
            GrantId old = new GrantId(6, 0);
            assertEquals(refusal(old, RunOutcome.UNKNOWN), granted().start(ATTEMPT, old, 1));
        }

        @Test
        void refusesAnotherAttemptsGrant() {
            assertEquals(
                    RunOutcome.NOT_RUN,
                    ((LedgerAction.RefuseStart)
                                    granted().start(ATTEMPT.next(), GRANT, 1).get(0))
                            .outcome());
        }

        @Test
        void refusesWhileDraining() {
            AttemptLedger ledger = granted();
            ledger.drain(1);
            assertEquals(refusal(GRANT, RunOutcome.NOT_RUN), ledger.start(ATTEMPT, GRANT, 2));
            assertFalse(ledger.granted(ATTEMPT.next(), new GrantId(7, 1), 1_000, 3));
        }
    }

    @Nested
    class Revoke {
        @Test
        void refusesALateStartAfterRevocation() {
            AttemptLedger ledger = granted();
            assertEquals(answer(GRANT, AttemptState.NEVER_STARTED), ledger.revoke(ATTEMPT, GRANT, 1));
            assertEquals(refusal(GRANT, RunOutcome.NOT_RUN), ledger.start(ATTEMPT, GRANT, 2));
        }

        @Test
        void reportsTheStateOfAStartedAttempt() {
            AttemptLedger ledger = granted();
            ledger.start(ATTEMPT, GRANT, 1);
            assertEquals(answer(GRANT, AttemptState.RUNNING), ledger.revoke(ATTEMPT, GRANT, 2));
            ledger.ended(ATTEMPT, GRANT, 3);
            assertEquals(answer(GRANT, AttemptState.ENDED), ledger.revoke(ATTEMPT, GRANT, 4));
        }

        @Test
        void reportsForgottenForUnknownGrants() {
            AttemptLedger ledger = granted();
            for (GrantId grant : List.of(new GrantId(6, 0), new GrantId(8, 0), new GrantId(7, 1))) {
                assertEquals(answer(grant, AttemptState.FORGOTTEN), ledger.revoke(ATTEMPT, grant, 1));
            }
        }

        @Test
        void reportsForgottenForGrantsOutsideTheWindow() {
            AttemptLedger ledger = granted();
            ledger.start(ATTEMPT, GRANT, 1);
            for (int sequence = 1; sequence <= 128; sequence++) {
                ledger.granted(ATTEMPT, new GrantId(7, sequence), 1, 2);
            }
            assertEquals(answer(GRANT, AttemptState.FORGOTTEN), ledger.revoke(ATTEMPT, GRANT, 3));
            assertEquals(refusal(GRANT, RunOutcome.UNKNOWN), ledger.start(ATTEMPT, GRANT, 3));
        }

        @Test
        void reportsNeverStartedAfterAnUndoneStart() {
            AttemptLedger ledger = granted();
            ledger.start(ATTEMPT, GRANT, 1);
            ledger.undoStart(ATTEMPT, GRANT, 2);
            assertEquals(answer(GRANT, AttemptState.NEVER_STARTED), ledger.revoke(ATTEMPT, GRANT, 3));
            assertEquals(refusal(GRANT, RunOutcome.NOT_RUN), ledger.start(ATTEMPT, GRANT, 4));
        }
    }

    @Nested
    class Window {
        @Test
        void matchesAReferenceSet() {
            Random random = new Random(5);
            SequenceWindow window = new SequenceWindow(1_000);
            TreeSet<Long> expected = new TreeSet<>();
            long next = 0;
            while (next < 20_000) {
                next += 1 + random.nextInt(next % 4_096 == 0 ? 1_500 : 3);
                window.advanceTo(next);
                if (random.nextBoolean()) {
                    window.add(next);
                    expected.add(next);
                }
                for (long probe = Math.max(0, next - 1_100); probe <= next; probe += 7) {
                    boolean isExpected = probe > next - 1_000 && expected.contains(probe);
                    assertEquals(isExpected, window.contains(probe), "probe " + probe + " at " + next);
                }
            }
        }
    }
}
