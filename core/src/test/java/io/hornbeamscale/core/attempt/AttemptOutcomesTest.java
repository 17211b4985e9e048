package io.hornbeamscale.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the outcome {@code not_run} for a request of which an earlier attempt ran or may have run. */
class AttemptOutcomesTest {
    @ParameterizedTest
    @CsvSource({
        // outcomes of the attempts in order, NONE for an attempt without a recorded outcome; expected outcome
        "'', NOT_RUN",
        "NONE, UNKNOWN",
        "NOT_RUN, NOT_RUN",
        "RAN NOT_RUN, RAN",
        "NONE NOT_RUN, UNKNOWN",
        "UNKNOWN NOT_RUN, UNKNOWN",
        "NOT_RUN NOT_RUN, NOT_RUN",
        "NOT_RUN RAN, RAN",
    })
    void combinesTheOutcomesOfAllAttempts(String outcomes, RunOutcome expected) {
        AttemptOutcomes attemptOutcomes = new AttemptOutcomes();
        AttemptId attempt = new AttemptId(new RequestId("r"), 1);
        for (String outcome : outcomes.split(" ", -1)) {
            if (outcome.isEmpty()) {
                continue;
            }
            attemptOutcomes.handedOver(attempt);
            if (!outcome.equals("NONE")) {
                attemptOutcomes.settled(attempt, RunOutcome.valueOf(outcome));
                // A late frame must not replace a known outcome.
                attemptOutcomes.settled(attempt, RunOutcome.UNKNOWN);
            }
            attempt = attempt.next();
        }
        assertEquals(expected, attemptOutcomes.outcome());
    }
}
