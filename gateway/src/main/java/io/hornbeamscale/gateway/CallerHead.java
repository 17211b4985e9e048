package io.hornbeamscale.gateway;

import java.util.List;
import java.util.Optional;

/**
 * What the headers of a caller's request say.
 *
 * @param requestId the id of the request, empty if it has none
 * @param apiKey the customer's key, empty if there is none
 * @param budgetMillis how long the caller waits, in milliseconds, 0 if it does not say
 * @param promptTokens the length of the prompt, 0 if unknown
 * @param maxOutputTokens the greatest length of the response, 0 if unknown
 * @param hintedTokens the caller's estimate of the length of the response, 0 if it gives none
 * @param parts the parts of the prompt in order
 * @param lastEventId the id of the last event that the caller has, empty if it does not resume a stream
 */
public record CallerHead(
        Optional<String> requestId,
        Optional<String> apiKey,
        long budgetMillis,
        long promptTokens,
        long maxOutputTokens,
        long hintedTokens,
        List<PromptPart> parts,
        Optional<String> lastEventId) {
    /** Copies the list. */
    public CallerHead {
        parts = List.copyOf(parts);
    }
}
