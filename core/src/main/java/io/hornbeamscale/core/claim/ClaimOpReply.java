package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * The answer to a {@link ForwardedClaimOp}.
 *
 * @param opId the number of the forwarded change
 * @param outcome what became of it, not null
 */
public record ClaimOpReply(long opId, ClaimOutcome outcome) {
    /** Checks the parts. */
    public ClaimOpReply {
        Arguments.notNull(outcome, "outcome");
    }
}
