package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;

/**
 * The size of a generation, as far as it is known when it is placed.
 *
 * @param promptTokens the tokens of the prompt
 * @param expectedTokens the tokens that the response is expected to have
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
     * Returns the load that the generation puts on a server while its prompt is not read yet.
     *
     * @return the load, never null
     */
    public ServerLoad load() {
        return new ServerLoad(1, totalTokens(), promptTokens);
    }
}
