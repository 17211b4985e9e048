package io.hornbeamscale.core.admission;

import io.hornbeamscale.core.util.Arguments;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognizes callers that repeat a refused request without waiting for the time of its {@code Retry-After}. Repeats at
 * another entry are not recognized. Not safe for use by several threads.
 */
public final class RepeatDetector {
    /** The maximum number of refusals that are remembered; the oldest are forgotten first. */
    private static final int MAX_REFUSALS = 2_000;

    /** The share of the stated time after which a repeat counts as punctual, as callers may round it. */
    private static final double PUNCTUAL_SHARE = 0.5;

    private final Map<Key, Long> punctualAtMillis = new LinkedHashMap<>();

    /**
     * Remembers a refusal.
     *
     * @param key the identity of the request, not null
     * @param retryAfterMillis the time that the caller was told to wait, in milliseconds, not negative
     * @param nowMillis the present time
     */
    public void refused(Key key, long retryAfterMillis, long nowMillis) {
        Arguments.notNull(key, "key");
        Arguments.notNegative(retryAfterMillis, "retryAfterMillis");
        punctualAtMillis.remove(key);
        punctualAtMillis.put(key, nowMillis + (long) (PUNCTUAL_SHARE * retryAfterMillis));
        if (punctualAtMillis.size() > MAX_REFUSALS) {
            punctualAtMillis.remove(punctualAtMillis.keySet().iterator().next());
        }
    }

    /**
     * Returns whether a request repeats a refused one too early.
     *
     * @param key the identity of the request, not null
     * @param nowMillis the present time
     * @return whether it is a repeat
     */
    public boolean isRepeat(Key key, long nowMillis) {
        Long punctual = punctualAtMillis.get(key);
        if (punctual == null) {
            return false;
        }
        if (nowMillis < punctual) {
            return true;
        }
        punctualAtMillis.remove(key);
        return false;
    }

    /**
     * The identity of a request, as far as it is the same in a repeat.
     *
     * @param customer the name of the customer, not null
     * @param route the name of the route, not null
     * @param promptHash a hash of the content of the request
     */
    public record Key(String customer, String route, long promptHash) {
        /**
         * Checks the parts.
         *
         * @param customer the name of the customer, not null
         * @param route the name of the route, not null
         * @param promptHash a hash of the content of the request
         */
        public Key {
            Arguments.notNull(customer, "customer");
            Arguments.notNull(route, "route");
        }
    }
}
