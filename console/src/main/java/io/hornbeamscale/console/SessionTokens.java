package io.hornbeamscale.console;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Creates and checks signed session cookies and CSRF tokens. The entries behind the load balancer share no state, so a
 * cookie contains the whole session, and any entry with the same secret can verify it. The CSRF token is derived from
 * the id of the session.
 */
final class SessionTokens {
    static final long IDLE_TIMEOUT_MILLIS = 30 * 60 * 1_000L;
    static final long MAX_AGE_MILLIS = 8 * 60 * 60 * 1_000L;

    // A cookie is renewed only once it is this old, so that most responses set none.
    private static final long RENEWAL_INTERVAL_MILLIS = 60 * 1_000L;
    private static final int ID_BYTES = 16;
    private static final int COOKIE_PARTS = 5;
    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] secret;
    private final SecureRandom random;

    SessionTokens(String secret, SecureRandom random) {
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        this.random = random;
    }

    Session start(String operator, long nowMillis) {
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        return new Session(operator, HexFormat.of().formatHex(id), nowMillis, nowMillis + IDLE_TIMEOUT_MILLIS);
    }

    /** Returns the session with a later end, empty if its renewal is not due yet or it has reached its maximum age. */
    Optional<Session> renewed(Session session, long nowMillis) {
        long expires = Math.min(nowMillis + IDLE_TIMEOUT_MILLIS, session.startedMillis() + MAX_AGE_MILLIS);
        return expires - session.expiresMillis() < RENEWAL_INTERVAL_MILLIS
                ? Optional.empty()
                : Optional.of(new Session(session.operator(), session.id(), session.startedMillis(), expires));
    }

    String encode(Session session) {
        String name = Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(session.operator().getBytes(StandardCharsets.UTF_8));
        String text = name + "." + session.id() + "." + session.startedMillis() + "." + session.expiresMillis();
        return text + "." + sign("session:" + text);
    }

    /** Returns the session of a cookie, empty if the cookie is null, malformed, not signed by the secret or expired. */
    Optional<Session> decode(String cookie, long nowMillis) {
        if (cookie == null) {
            return Optional.empty();
        }
        List<String> parts = Arrays.asList(cookie.split("\\.", -1));
        int end = cookie.lastIndexOf('.');
        if (parts.size() != COOKIE_PARTS
                || !isEqual(parts.get(COOKIE_PARTS - 1), sign("session:" + cookie.substring(0, end)))) {
            return Optional.empty();
        }
        String operator = new String(Base64.getUrlDecoder().decode(parts.get(0)), StandardCharsets.UTF_8);
        Session session =
                new Session(operator, parts.get(1), Long.parseLong(parts.get(2)), Long.parseLong(parts.get(3)));
        return nowMillis < session.expiresMillis() ? Optional.of(session) : Optional.empty();
    }

    String csrfToken(Session session) {
        return sign("csrf:" + session.id());
    }

    boolean isCsrfTokenValid(Session session, String token) {
        return isEqual(token, csrfToken(session));
    }

    private static boolean isEqual(String left, String right) {
        return MessageDigest.isEqual(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }

    private String sign(String text) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", e);
        }
    }
}
