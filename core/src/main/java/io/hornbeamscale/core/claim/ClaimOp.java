package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * An operation on one claim, carried out by the writer of its partition.
 *
 * @param kind the kind of operation, not null
 * @param key the key, not null
 * @param owner the attempt concerned, not null
 * @param fingerprint the digest of the call, for {@link Kind#CLAIM}, otherwise null
 * @param supersedes an owner whose claim may be replaced, for {@link Kind#CLAIM}, may be null
 * @param result the result, for {@link Kind#FINISH}, otherwise null
 */
public record ClaimOp(
        Kind kind, ClaimKey key, ClaimOwner owner, String fingerprint, ClaimOwner supersedes, ClaimResult result) {
    /** The kind of operation. */
    public enum Kind {
        /** Creates the claim, or replaces that of an attempt that never started. */
        CLAIM,
        /** Adds the result to the claim. */
        FINISH,
        /** Removes the claim of an attempt that never started. */
        RELEASE
    }

    /** Checks the parts. */
    public ClaimOp {
        Arguments.notNull(kind, "kind");
        Arguments.notNull(key, "key");
        Arguments.notNull(owner, "owner");
    }

    static ClaimOp claim(ClaimRequest call, ClaimOwner supersedes) {
        return new ClaimOp(Kind.CLAIM, call.key(), call.owner(), call.fingerprint(), supersedes, null);
    }

    static ClaimOp finish(ClaimKey key, ClaimOwner owner, ClaimResult result) {
        return new ClaimOp(Kind.FINISH, key, owner, null, null, Arguments.notNull(result, "result"));
    }

    static ClaimOp release(ClaimKey key, ClaimOwner owner) {
        return new ClaimOp(Kind.RELEASE, key, owner, null, null, null);
    }
}
