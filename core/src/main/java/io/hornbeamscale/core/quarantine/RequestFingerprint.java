package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.util.TruncatedSha256;
import java.nio.charset.StandardCharsets;

/**
 * Identifies repeated sends of the same request by a digest of customer and body, or content that different requests
 * share.
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

    /**
     * Returns the fingerprint of content that different requests of any customer share.
     *
     * @param kind the kind of content, not null
     * @param id the id of the content within its kind, not null
     * @return the fingerprint, never null
     */
    public static RequestFingerprint ofContent(String kind, String id) {
        byte[] bytes = Arguments.notNull(id, "id").getBytes(StandardCharsets.UTF_8);
        return new RequestFingerprint(TruncatedSha256.of(bytes, "content", Arguments.notNull(kind, "kind")));
    }

    @Override
    public String toString() {
        return digest;
    }
}
