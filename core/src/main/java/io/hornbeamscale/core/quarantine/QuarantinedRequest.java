package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.util.Arguments;

/**
 * A request that is refused because it crashed engines.
 *
 * @param fingerprint the fingerprint of the request, not null
 * @param expiresMillis the end of the quarantine, in milliseconds since the epoch
 */
public record QuarantinedRequest(RequestFingerprint fingerprint, long expiresMillis) {
    /** Checks the parts. */
    public QuarantinedRequest {
        Arguments.notNull(fingerprint, "fingerprint");
    }
}
