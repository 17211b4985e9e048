package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.Payload;
import java.util.Map;

/**
 * Ends an attempt with a complete response.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param generation the generation, not blank
 * @param totalTokens the number of tokens, 0 for plain calls
 * @param finishReason the finish reason, empty for plain calls; null means empty
 * @param status the HTTP status of a plain call, 0 otherwise
 * @param headers the headers of a plain call; null means none
 * @param body the body of a plain call; null means empty
 */
public record EndMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("g") String generation,
        @JsonProperty("to") long totalTokens,
        @JsonProperty("fr") String finishReason,
        @JsonProperty("st") int status,
        @JsonProperty("h") Map<String, String> headers,
        @JsonProperty("bo") Payload body)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public EndMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(generation, "generation");
        finishReason = finishReason == null ? "" : finishReason;
        headers = headers == null ? Map.of() : Map.copyOf(headers);
        body = body == null ? Payload.EMPTY : body;
    }
}
