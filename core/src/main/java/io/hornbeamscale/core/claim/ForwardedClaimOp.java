package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * An operation that an entry forwards to the writer of its partition.
 *
 * @param opId the id that the reply repeats
 * @param op the operation, not null
 */
public record ForwardedClaimOp(long opId, ClaimOp op) {
    /** Checks the parts. */
    public ForwardedClaimOp {
        Arguments.notNull(op, "op");
    }
}
