package io.hornbeamscale.core.placement;

/**
 * The load of a backend server.
 *
 * @param requests the number of running and waiting requests
 * @param tokens the memory that these requests need at their end, in tokens
 * @param prefillTokens the number of prompt tokens that are not processed yet
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
