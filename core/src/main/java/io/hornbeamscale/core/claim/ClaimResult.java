package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;
import java.util.Base64;
import java.util.Optional;

/**
 * The result of a call with an idempotency key, which is repeated to a caller that sends the key again.
 *
 * @param status the HTTP status, from 100 to 599
 * @param contentType the content type, not null
 * @param bodyBase64 the body, or null if it is too large to be stored
 */
public record ClaimResult(int status, String contentType, String bodyBase64) {
    /** Checks the parts. */
    public ClaimResult {
        Arguments.inRange(status, 100, 599, "status");
        Arguments.notNull(contentType, "contentType");
    }

    /**
     * Returns the result of a response.
     *
     * @param status the HTTP status
     * @param contentType the content type, may be null
     * @param body the body, not null
     * @param maxBodyBytes the size of the largest body to store, in bytes
     * @return the result, without its body if the body is larger, never null
     */
    public static ClaimResult of(int status, String contentType, byte[] body, int maxBodyBytes) {
        String text = body.length > maxBodyBytes ? null : Base64.getEncoder().encodeToString(body);
        return new ClaimResult(status, contentType == null ? "" : contentType, text);
    }

    /**
     * Returns the body.
     *
     * @return the body, empty if it was too large to be stored
     */
    public Optional<byte[]> body() {
        return bodyBase64 == null
                ? Optional.empty()
                : Optional.of(Base64.getDecoder().decode(bodyBase64));
    }

    ClaimResult withoutBody() {
        return new ClaimResult(status, contentType, null);
    }
}
