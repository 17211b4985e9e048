package io.hornbeamscale.console;

import io.hornbeamscale.core.util.Arguments;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/** Creates and checks salted hashes of passwords, as texts {@code pbkdf2-sha256$ITERATIONS$SALT$HASH}. */
public final class PasswordHash {
    private static final String SCHEME = "pbkdf2-sha256";
    private static final String ALGORITHM = "PBKDF2WithHmacSHA256";

    // The number that the OWASP password storage guidance recommends for PBKDF2 with HMAC-SHA-256.
    private static final int ITERATIONS = 600_000;
    static final int MIN_ITERATIONS = 100_000;
    private static final int MAX_ITERATIONS = 5_000_000;
    private static final int SALT_BYTES = 16;
    private static final int HASH_BITS = 256;

    private PasswordHash() {}

    /**
     * Hashes a password.
     *
     * @param password the password, not null
     * @param random the source of the salt, not null
     * @return the hash for the settings, never null
     */
    public static String create(String password, SecureRandom random) {
        return create(password, random, ITERATIONS);
    }

    static String create(String password, SecureRandom random, int iterations) {
        Arguments.notNull(password, "password");
        byte[] salt = new byte[SALT_BYTES];
        Arguments.notNull(random, "random").nextBytes(salt);
        HexFormat hex = HexFormat.of();
        return SCHEME + "$" + iterations + "$" + hex.formatHex(salt) + "$"
                + hex.formatHex(derive(password, salt, iterations));
    }

    /**
     * Returns whether a text is a hash that {@link #matches} accepts.
     *
     * @param hash the text, may be null
     * @return whether it has the expected form and an allowed number of iterations
     */
    public static boolean isValid(String hash) {
        if (hash == null || !hash.matches("pbkdf2-sha256\\$[0-9]{6,7}\\$([0-9a-f]{2}){16,64}\\$[0-9a-f]{64}")) {
            return false;
        }
        int iterations = Integer.parseInt(parts(hash).get(1));
        return iterations >= MIN_ITERATIONS && iterations <= MAX_ITERATIONS;
    }

    /**
     * Compares a password with a hash, in a time that does not depend on where they differ.
     *
     * @param password the password, not null
     * @param hash a valid hash, not null
     * @return whether the hash was created from the password
     * @throws IllegalArgumentException if the hash is not valid
     */
    public static boolean matches(String password, String hash) {
        Arguments.notNull(password, "password");
        if (!isValid(hash)) {
            throw new IllegalArgumentException("hash must have the form " + SCHEME + "$ITERATIONS$SALT$HASH");
        }
        List<String> parts = parts(hash);
        byte[] salt = HexFormat.of().parseHex(parts.get(2));
        byte[] expected = HexFormat.of().parseHex(parts.get(3));
        return MessageDigest.isEqual(expected, derive(password, salt, Integer.parseInt(parts.get(1))));
    }

    private static List<String> parts(String hash) {
        return Arrays.asList(hash.split("\\$", -1));
    }

    private static byte[] derive(String password, byte[] salt, int iterations) {
        PBEKeySpec spec = new PBEKeySpec(password.toCharArray(), salt, iterations, HASH_BITS);
        try {
            return SecretKeyFactory.getInstance(ALGORITHM).generateSecret(spec).getEncoded();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", e);
        } finally {
            spec.clearPassword();
        }
    }
}
