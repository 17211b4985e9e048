package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * A claim in the store.
 *
 * @param fingerprint a digest of method, path and body, not blank
 * @param owner the attempt that holds the claim, not null
 * @param createdMillis when the claim was written, in milliseconds since the epoch
 * @param expiresMillis when the claim may be dropped, in milliseconds since the epoch
 * @param result the result, or null while it is unknown
 */
public record ClaimRecord(
        String fingerprint, ClaimOwner owner, long createdMillis, long expiresMillis, ClaimResult result) {
    /** The encoded size of numbers, punctuation and a result without its body, rounded up, in bytes. */
    private static final int FIXED_BYTES = 200;

    /** Checks the parts. */
    public ClaimRecord {
        Arguments.notBlank(fingerprint, "fingerprint");
        Arguments.notNull(owner, "owner");
    }

    ClaimRecord withResult(ClaimResult newResult) {
        return new ClaimRecord(fingerprint, owner, createdMillis, expiresMillis, newResult);
    }

    /** Returns an upper bound of the encoded size, in bytes. */
    int maxEncodedBytes() {
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
