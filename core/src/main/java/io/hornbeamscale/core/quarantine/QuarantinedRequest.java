package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.util.Arguments;

/**
 * A request that is refused.
 *
 * @param fingerprint the request, not null
 * @param expiresMillis until when it is refused, in milliseconds since the epoch
 */
public record QuarantinedRequest(RequestFingerprint fingerprint, long expiresMillis) {
    /** Checks the parts. */
    public QuarantinedRequest {
        Arguments.notNull(fingerprint, "fingerprint");
    }
}
