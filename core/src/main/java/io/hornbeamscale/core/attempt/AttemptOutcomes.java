package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;

/**
 * The outcomes of the attempts of one request that an entry handed over. Whichever error ends the request, the outcome
 * reported to the caller is the combined one: {@code not_run} only if nothing was handed over, or each attempt was
 * refused before its start or confirmed by its agent as never started. Not safe for use by several threads.
 */
public final class AttemptOutcomes {
    private final Map<AttemptId, RunOutcome> outcomes = new HashMap<>();

    /**
     * Records that a start is about to be sent. Must be called before the frame is passed to the connection.
     *
     * @param attempt the attempt, not null
     */
    public void handedOver(AttemptId attempt) {
        outcomes.putIfAbsent(Arguments.notNull(attempt, "attempt"), RunOutcome.UNKNOWN);
    }

    /**
     * Records the outcome of an attempt. An outcome other than {@code UNKNOWN} is not replaced. An attempt that was not
     * handed over is ignored.
     *
     * @param attempt the attempt, not null
     * @param outcome the outcome, not null
     */
    public void settled(AttemptId attempt, RunOutcome outcome) {
        Arguments.notNull(outcome, "outcome");
        outcomes.replace(Arguments.notNull(attempt, "attempt"), RunOutcome.UNKNOWN, outcome);
    }

    /**
     * Returns the combined outcome of the request.
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
