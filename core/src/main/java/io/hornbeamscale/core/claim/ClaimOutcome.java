package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * What became of a change.
 *
 * @param kind the kind, not null
 * @param found the claim that was found, for {@link Kind#HELD} and {@link Kind#DONE}, otherwise null
 */
public record ClaimOutcome(Kind kind, ClaimRecord found) {
    /** The kind of outcome. */
    public enum Kind {
        /** The claim is held by the asking attempt. */
        GRANTED,
        /** Another attempt holds the claim and has no result yet. */
        HELD,
        /** The call has a result. */
        DONE,
        /** The key was used with another request. */
        KEY_REUSED,
        /** The partition has no room. */
        FULL,
        /** The result was added or the claim removed, or nothing was left to do. */
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
