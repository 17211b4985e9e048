package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;

/**
 * The size of a generation, as far as it is known when it is placed.
 *
 * @param promptTokens the tokens of the prompt
 * @param expectedTokens the tokens that the response is expected to have
 */
public record GenerationSize(long promptTokens, long expectedTokens) {
    /** The prompt tokens for which a stream that is handed over counts, in tokens; half a usual prompt. */
    private static final long HAND_OVER_TOKENS = 1_500;

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

    /**
     * Returns the load that the generation puts on a server to which it is handed over, until it goes on there. Its
     * state is copied, but while prompts are read in front of it the caller sees no event, so it counts as a prompt to
     * keep others away.
     *
     * @return the load, never null
     */
    public ServerLoad handOverLoad() {
        return new ServerLoad(1, totalTokens(), HAND_OVER_TOKENS);
    }
}
