package io.hornbeamscale.daemon;

import io.hornbeamscale.core.quarantine.RequestFingerprint;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Splits prompts into the passages that different prompts may share. Passages are separated by blank lines, so that a
 * passage is recognized wherever it stands in a prompt.
 */
final class PromptPassages {
    /** The minimum length of a passage, in characters; shorter ones are common in unrelated prompts. */
    private static final int MIN_CHARS = 24;

    /** The number of passages of a prompt that are compared; the memory for each request is bounded by it. */
    private static final int MAX_PASSAGES = 32;

    private static final String KIND = "prompt passage";
    private static final Pattern BLANK_LINES = Pattern.compile("\\n\\s*\\n");

    private PromptPassages() {}

    /**
     * Returns the fingerprints of the passages of a prompt in their order.
     *
     * @param model the name of the model, whose engines alone are affected by a passage
     */
    static List<RequestFingerprint> of(String model, String prompt) {
        return BLANK_LINES
                .splitAsStream(prompt)
                .map(String::strip)
                .filter(passage -> passage.length() >= MIN_CHARS)
                .limit(MAX_PASSAGES)
                .map(passage -> RequestFingerprint.ofContent(KIND, model + '\n' + passage))
                .distinct()
                .toList();
    }
}
