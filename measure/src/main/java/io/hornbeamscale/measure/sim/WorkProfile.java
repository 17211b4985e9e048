package io.hornbeamscale.measure.sim;

/**
 * A kind of work with its share of requests and the distribution of its sizes.
 *
 * @param kind the name of the kind
 * @param priority the priority of the kind in the document
 * @param share the share of requests
 * @param promptTokens the mean number of prompt tokens
 * @param outputTokens the mean number of output tokens
 * @param sigma the standard deviation of the logarithm of the output tokens
 * @param patienceMillis how long a caller waits for the first token in milliseconds
 */
public record WorkProfile(
        String kind,
        int priority,
        double share,
        int promptTokens,
        double outputTokens,
        double sigma,
        long patienceMillis) {}
