package io.hornbeamscale.core.estimate;

/** The distribution of output lengths of one class of requests. Implementations are immutable. */
public interface LengthDistribution {
    /**
     * Returns the probability that a response is longer than a number of tokens.
     *
     * @param tokens the number of tokens, not negative
     * @return the probability from 0 to 1; greater than 0 unless the length is known
     */
    double survival(int tokens);

    /**
     * Returns the mean length.
     *
     * @return the mean in tokens
     */
    double mean();

    /**
     * Returns the expected number of remaining tokens of a response.
     *
     * @param emitted the number of tokens emitted so far, not negative
     * @param maxTokens the caller's limit of output tokens, 0 for none
     * @return the expected remainder in tokens; at least 1 below the limit, 0 at the limit
     */
    default double expectedRemaining(int emitted, int maxTokens) {
        int limit = maxTokens <= 0 ? Integer.MAX_VALUE / 4 : maxTokens;
        double alive = survival(emitted);
        if (emitted >= limit || alive <= 0) {
            return emitted >= limit ? 0 : 1;
        }
        double sum = 0;
        double from = emitted;
        double before = alive;
        // Geometric steps keep the number of integration steps small; the distribution is smooth on this scale.
        while (from < limit && before > alive * 1e-3) {
            double to = Math.min(limit, from + Math.max(1, from / 16));
            double after = survival((int) to);
            sum += (to - from) * (before + after) / 2;
            from = to;
            before = after;
        }
        return Math.max(1, sum / alive);
    }
}
