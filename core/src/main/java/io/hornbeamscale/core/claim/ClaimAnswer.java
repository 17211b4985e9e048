package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * The answer to a {@link ClaimForward}.
 *
 * @param opId the number of the forwarded change
 * @param outcome what became of it, not null
 */
public record ClaimAnswer(long opId, ClaimOutcome outcome) {
    /** Checks the parts. */
    public ClaimAnswer {
        Arguments.notNull(outcome, "outcome");
    }
}
