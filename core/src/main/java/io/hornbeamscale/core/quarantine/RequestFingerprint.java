package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.util.TruncatedSha256;

/**
 * Identifies repeated sends of the same request by a digest of customer and body.
 *
 * @param digest the digest, not blank
 */
public record RequestFingerprint(String digest) {
    /** Checks the digest. */
    public RequestFingerprint {
        Arguments.notBlank(digest, "digest");
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param customer the calling customer, not null
     * @param body the body, not null
     * @return the fingerprint, never null
     */
    public static RequestFingerprint of(CustomerId customer, byte[] body) {
        return new RequestFingerprint(TruncatedSha256.of(Arguments.notNull(body, "body"), customer.value()));
    }

    @Override
    public String toString() {
        return digest;
    }
}
