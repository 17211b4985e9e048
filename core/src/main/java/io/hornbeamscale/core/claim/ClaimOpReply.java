package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * The reply to a {@link ForwardedClaimOp}.
 *
 * @param opId the id of the forwarded operation
 * @param outcome the outcome of the operation, not null
 */
public record ClaimOpReply(long opId, ClaimOutcome outcome) {
    /** Checks the parts. */
    public ClaimOpReply {
        Arguments.notNull(outcome, "outcome");
    }
}
