package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of texts, such as customer keys and canonical documents. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Returns the digest of the UTF-8 bytes of a text.
     *
     * @param text the text, not null
     * @return 64 lower-case hexadecimal digits
     */
    public static String hex(String text) {
        Arguments.notNull(text, "text");
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
        }
    }
}
