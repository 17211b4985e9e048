package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * The outcome of an operation on a claim.
 *
 * @param kind the kind, not null
 * @param found the existing claim, for {@link Kind#HELD} and {@link Kind#DONE}, otherwise null
 */
public record ClaimOutcome(Kind kind, ClaimRecord found) {
    /** The kind of outcome. */
    public enum Kind {
        /** The requesting attempt holds the claim. */
        GRANTED,
        /** Another attempt holds the claim and has no result yet. */
        HELD,
        /** The call has a result. */
        DONE,
        /** The key was used with a different request. */
        KEY_REUSED,
        /** The partition has no room. */
        FULL,
        /** The result was added or the claim removed, or nothing had to be changed. */
        SETTLED
    }

    /** Checks the kind. */
    public ClaimOutcome {
        Arguments.notNull(kind, "kind");
    }

    static ClaimOutcome of(Kind kind) {
        return new ClaimOutcome(kind, null);
    }
}
