package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;

/** An action that an attempt ledger requests of its agent. */
public sealed interface LedgerAction {
    /**
     * Hands the request to the backend server.
     *
     * @param attempt the attempt
     * @param grant the grant, which cannot be used again
     */
    record Run(AttemptId attempt, GrantId grant) implements LedgerAction {}

    /**
     * Refuses a start; this copy of the request is not run. If the outcome is not {@code not_run}, an earlier copy may
     * have run, so the refusal must be sent to the entry together with the outcome, as in a {@code Failed} message.
     *
     * @param attempt the attempt
     * @param grant the grant
     * @param kind the error
     * @param outcome what is known about the execution of the attempt
     */
    record RefuseStart(AttemptId attempt, GrantId grant, ErrorKind kind, RunOutcome outcome) implements LedgerAction {}

    /**
     * Answers a repeated start with the state of the attempt; nothing is run.
     *
     * @param attempt the attempt
     * @param grant the grant
     * @param state the state of the attempt
     */
    record ReportState(AttemptId attempt, GrantId grant, AttemptState state) implements LedgerAction {}

    /**
     * Answers a revocation.
     *
     * @param attempt the attempt
     * @param grant the grant
     * @param isNeverStarted whether the attempt has not started and never will
     * @param state the state of the attempt
     */
    record AnswerRevoke(AttemptId attempt, GrantId grant, boolean isNeverStarted, AttemptState state)
            implements LedgerAction {}
}
