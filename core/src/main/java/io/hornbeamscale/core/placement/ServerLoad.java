package io.hornbeamscale.core.placement;

/**
 * The load of a backend server.
 *
 * @param requests the number of running and waiting requests
 * @param tokens the memory that these requests need at their end, in tokens
 * @param prefillTokens the number of prompt tokens that are not processed yet
 * @param usedTokens the memory that these requests use at present, in tokens; a prompt that waits counts as used, since
 *     it will be in use before any response ends
 */
public record ServerLoad(int requests, long tokens, long prefillTokens, long usedTokens) {
    /** No load. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0, 0);

    /**
     * Creates the load of requests whose progress is unknown. They are assumed to use the memory that they need at
     * their end.
     *
     * @param requests the number of running and waiting requests
     * @param tokens the memory that these requests need at their end, in tokens
     * @param prefillTokens the number of prompt tokens that are not processed yet
     */
    public ServerLoad(int requests, long tokens, long prefillTokens) {
        this(requests, tokens, prefillTokens, tokens);
    }

    /**
     * Returns the sum of two loads.
     *
     * @param other the other load, not null
     * @return the sum, never null
     */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                requests + other.requests,
                tokens + other.tokens,
                prefillTokens + other.prefillTokens,
                usedTokens + other.usedTokens);
    }

    /**
     * Returns the difference of two loads.
     *
     * @param other the load to subtract, not null
     * @return the difference, never null
     */
    public ServerLoad minus(ServerLoad other) {
        return new ServerLoad(
                requests - other.requests,
                tokens - other.tokens,
                prefillTokens - other.prefillTokens,
                usedTokens - other.usedTokens);
    }

    /**
     * Returns whether any part of this load is less than that of another one.
     *
     * @param other the other load, not null
     * @return whether a request may fit beside this load that did not fit beside the other one
     */
    public boolean isAnyLess(ServerLoad other) {
        return requests < other.requests
                || tokens < other.tokens
                || prefillTokens < other.prefillTokens
                || usedTokens < other.usedTokens;
    }
}
