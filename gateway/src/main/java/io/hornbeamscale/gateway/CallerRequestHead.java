package io.hornbeamscale.gateway;

import java.util.List;
import java.util.Optional;

/**
 * The decoded headers of a caller's request.
 *
 * @param requestId the id of the request, empty if it has none
 * @param apiKey the customer's key, empty if there is none
 * @param timeoutMillis how long the caller waits for the response, in milliseconds, 0 if unknown
 * @param promptTokens the length of the prompt, in tokens, 0 if unknown
 * @param maxOutputTokens the greatest length of the response, in tokens, 0 if unknown
 * @param hintedTokens the caller's estimate of the length of the response, in tokens, 0 if unknown
 * @param promptParts the parts of the prompt in order
 * @param lastEventId the id of the last event that the caller received, empty if it does not resume a stream
 */
public record CallerRequestHead(
        Optional<String> requestId,
        Optional<String> apiKey,
        long timeoutMillis,
        long promptTokens,
        long maxOutputTokens,
        long hintedTokens,
        List<PromptPart> promptParts,
        Optional<String> lastEventId) {
    /** Copies the list. */
    public CallerRequestHead {
        promptParts = List.copyOf(promptParts);
    }
}
