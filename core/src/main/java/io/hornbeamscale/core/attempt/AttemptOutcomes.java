package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;

/**
 * The entry's record of the attempts of one request that it handed over. Whatever error ends the request, its outcome
 * is that of this record: {@code not_run} only if nothing was handed over, or each hand-over was refused before its
 * start or revoked with the agent's promise. Not safe for use by several threads.
 */
public final class AttemptOutcomes {
    private final Map<AttemptId, RunOutcome> outcomes = new HashMap<>();

    /**
     * Notes that a start is about to be sent. Call this before the frame is passed to the connection.
     *
     * @param attempt the attempt, not null
     */
    public void handedOver(AttemptId attempt) {
        outcomes.putIfAbsent(Arguments.notNull(attempt, "attempt"), RunOutcome.UNKNOWN);
    }

    /**
     * Notes what became of an attempt. What is known for certain is not replaced.
     *
     * @param attempt the attempt, not null
     * @param outcome the outcome, not null
     */
    public void settled(AttemptId attempt, RunOutcome outcome) {
        Arguments.notNull(outcome, "outcome");
        outcomes.replace(Arguments.notNull(attempt, "attempt"), RunOutcome.UNKNOWN, outcome);
    }

    /**
     * Returns what is known about the request.
     *
     * @return {@code RAN} if an attempt ran, {@code UNKNOWN} if one may have run, otherwise {@code NOT_RUN}
     */
    public RunOutcome outcome() {
        if (outcomes.containsValue(RunOutcome.RAN)) {
            return RunOutcome.RAN;
        }
        return outcomes.containsValue(RunOutcome.UNKNOWN) ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN;
    }
}
