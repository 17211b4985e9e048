package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * A change that an entry asks the writer of the partition to carry out.
 *
 * @param opId a number that the answer repeats
 * @param op the change, not null
 */
public record ForwardedClaimOp(long opId, ClaimOp op) {
    /** Checks the parts. */
    public ForwardedClaimOp {
        Arguments.notNull(op, "op");
    }
}
