package io.hornbeamscale.core.util;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/** Computes truncated SHA-256 digests, as compact identifiers of longer values. */
public final class TruncatedSha256 {
    private static final int DIGEST_BYTES = 16;

    private TruncatedSha256() {}

    /**
     * Returns the first 128 bits of the SHA-256 digest over several parts. Each part is preceded by its length, so
     * different parts never result in the same input of the digest.
     *
     * @param body the last part, not null
     * @param parts the other parts, not null
     * @return 22 characters of URL-safe Base64 without padding, never null
     */
    public static String of(byte[] body, String... parts) {
        MessageDigest digest = sha256();
        for (String part : parts) {
            update(digest, part.getBytes(StandardCharsets.UTF_8));
        }
        update(digest, body);
        byte[] head = Arrays.copyOf(digest.digest(), DIGEST_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(head);
    }

    private static void update(MessageDigest digest, byte[] bytes) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
