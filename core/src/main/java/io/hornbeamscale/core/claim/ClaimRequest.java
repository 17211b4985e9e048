package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * A request for the claim of a call with an idempotency key that is about to be handed over.
 *
 * @param key the key, not null
 * @param fingerprint a digest of method, path and body, not blank
 * @param owner the attempt and the grant that it will use, not null
 * @param supersedes the owner of an earlier claim of the same request that is known never to have started, or null
 * @param deadlineMillis the time until which the caller waits
 */
public record ClaimRequest(
        ClaimKey key, String fingerprint, ClaimOwner owner, ClaimOwner supersedes, long deadlineMillis) {
    /** Checks the parts. */
    public ClaimRequest {
        Arguments.notNull(key, "key");
        Arguments.notBlank(fingerprint, "fingerprint");
        Arguments.notNull(owner, "owner");
    }
}
