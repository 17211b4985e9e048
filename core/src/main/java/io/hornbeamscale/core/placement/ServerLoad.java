package io.hornbeamscale.core.placement;

/**
 * How much of a backend server's capacity is in use.
 *
 * @param requests the requests that run or wait there
 * @param tokens the memory that these requests will need at their end, in tokens
 * @param prefillTokens the prompt tokens that are not read yet
 */
public record ServerLoad(int requests, long tokens, long prefillTokens) {
    /** No load. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    /**
     * Returns the sum of two loads.
     *
     * @param other the other load, not null
     * @return the sum, never null
     */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(requests + other.requests, tokens + other.tokens, prefillTokens + other.prefillTokens);
    }
}
