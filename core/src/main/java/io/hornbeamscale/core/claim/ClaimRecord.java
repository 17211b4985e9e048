package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * A claim as it is stored.
 *
 * @param fingerprint a digest of method, path and body, not blank
 * @param owner the attempt that holds the claim, not null
 * @param createdMillis when it was written, in milliseconds since the epoch
 * @param expiresMillis when it may be dropped, in milliseconds since the epoch
 * @param result the result, or null while none is known
 */
public record ClaimRecord(
        String fingerprint, ClaimOwner owner, long createdMillis, long expiresMillis, ClaimResult result) {
    /** The size of numbers, punctuation and a result without body, rounded up, in bytes. */
    private static final int FIXED_BYTES = 200;

    /** Checks the parts. */
    public ClaimRecord {
        Arguments.notBlank(fingerprint, "fingerprint");
        Arguments.notNull(owner, "owner");
    }

    ClaimRecord withResult(ClaimResult known) {
        return new ClaimRecord(fingerprint, owner, createdMillis, expiresMillis, known);
    }

    /** Returns an upper bound of the encoded size. */
    int size() {
        int size = FIXED_BYTES
                + 6
                        * (owner.attempt().request().value().length()
                                + owner.backend().value().length());
        if (result == null) {
            return size;
        }
        int body = result.bodyBase64() == null ? 0 : result.bodyBase64().length();
        return size + 6 * result.contentType().length() + body;
    }
}
