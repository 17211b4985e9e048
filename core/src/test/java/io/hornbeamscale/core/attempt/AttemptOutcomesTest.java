package io.hornbeamscale.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against {@code not_run} for a request of which an earlier attempt ran or may have run. */
class AttemptOutcomesTest {
    @ParameterizedTest
    @CsvSource({
        // outcomes of the attempts in their order, none for one that was not settled; expected
        "'', NOT_RUN",
        "NONE, UNKNOWN",
        "NOT_RUN, NOT_RUN",
        "RAN NOT_RUN, RAN",
        "NONE NOT_RUN, UNKNOWN",
        "UNKNOWN NOT_RUN, UNKNOWN",
        "NOT_RUN NOT_RUN, NOT_RUN",
        "NOT_RUN RAN, RAN",
    })
    void yieldsWhatIsKnownOfAllAttempts(String outcomes, RunOutcome expected) {
        AttemptOutcomes record = new AttemptOutcomes();
        AttemptId attempt = new AttemptId(new RequestId("r"), 1);
        for (String outcome : outcomes.split(" ", -1)) {
            if (outcome.isEmpty()) {
                continue;
            }
            record.handedOver(attempt);
            if (!outcome.equals("NONE")) {
                record.settled(attempt, RunOutcome.valueOf(outcome));
                // A late frame must not change what is certain.
                record.settled(attempt, RunOutcome.UNKNOWN);
            }
            attempt = attempt.next();
        }
        assertEquals(expected, record.outcome());
    }
}
