package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;

/**
 * The size of a generation as known when it is placed.
 *
 * @param promptTokens the number of prompt tokens, not negative
 * @param expectedTokens the expected number of response tokens, not negative
 */
public record GenerationSize(long promptTokens, long expectedTokens) {
    /** Checks the parts. */
    public GenerationSize {
        Arguments.notNegative(promptTokens, "promptTokens");
        Arguments.notNegative(expectedTokens, "expectedTokens");
    }

    /**
     * Returns the memory that the generation needs at its end.
     *
     * @return the number of tokens
     */
    public long totalTokens() {
        return promptTokens + expectedTokens;
    }

    /**
     * Returns the load that the generation puts on a server before its prompt is processed.
     *
     * @return the load, never null
     */
    public ServerLoad load() {
        return new ServerLoad(1, totalTokens(), promptTokens, promptTokens);
    }

    /**
     * Returns the load that the generation puts on a server while it runs.
     *
     * @param emittedTokens the number of response tokens emitted so far
     * @return the load, never null
     */
    public ServerLoad loadAfter(long emittedTokens) {
        return new ServerLoad(1, totalTokens(), 0, promptTokens + emittedTokens);
    }
}
