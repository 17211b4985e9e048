package io.hornbeamscale.standin;

import io.hornbeamscale.core.util.Arguments;

/** The deterministic output of the engine stand-in: each token depends only on the prompt and its index. */
public final class EngineTokens {
    private EngineTokens() {}

    /**
     * Returns the text of one token.
     *
     * @param prompt the prompt, not null
     * @param index the index of the token, from 0
     * @return the text, which starts with a space, never null
     */
    public static String tokenText(String prompt, int index) {
        Arguments.notNull(prompt, "prompt");
        long hash = (prompt.hashCode() * 0x9E3779B97F4A7C15L) ^ (index * 0xC2B2AE3D27D4EB4FL);
        hash ^= hash >>> 29;
        return " t" + index + "-" + Long.toHexString((hash * 0xBF58476D1CE4E5B9L) >>> 48);
    }

    /**
     * Returns the full text of a response.
     *
     * @param prompt the prompt, not null
     * @param count the number of tokens
     * @return the text, never null
     */
    public static String fullText(String prompt, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(tokenText(prompt, i));
        }
        return text.toString();
    }

    /**
     * Counts the tokens of a prompt. Each word is one token.
     *
     * @param prompt the prompt, not null
     * @return the number of words, 0 for a blank prompt
     */
    public static int countTokens(String prompt) {
        String stripped = Arguments.notNull(prompt, "prompt").strip();
        return stripped.isEmpty() ? 0 : stripped.split("\\s+", -1).length;
    }
}
