package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.util.TruncatedSha256;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a call with an idempotency key by a digest of customer, service and key.
 *
 * @param digest the digest, not blank
 */
public record ClaimKey(String digest) {
    /** Checks the digest. */
    public ClaimKey {
        Arguments.notBlank(digest, "digest");
    }

    /**
     * Returns the key of a call.
     *
     * @param customer the calling customer, not null
     * @param service the called service, not null
     * @param idempotencyKey the caller's key, not blank
     * @return the key, never null
     */
    public static ClaimKey of(CustomerId customer, ServiceId service, String idempotencyKey) {
        byte[] last = Arguments.notBlank(idempotencyKey, "idempotencyKey").getBytes(StandardCharsets.UTF_8);
        return new ClaimKey(TruncatedSha256.of(last, customer.value(), service.value()));
    }

    /**
     * Returns the partition that holds the claim of this key. All processes must use the same number of partitions.
     *
     * @param partitions the number of partitions, at least 1
     * @return a number from 0 to {@code partitions - 1}
     */
    public int partition(int partitions) {
        return Math.floorMod(digest.hashCode(), partitions);
    }
}
