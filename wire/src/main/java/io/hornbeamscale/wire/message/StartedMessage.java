package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Confirms a start.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param generation the generation, not blank
 */
public record StartedMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("g") String generation) implements AttemptMessage {
    /** Checks required fields. */
    public StartedMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(generation, "generation");
    }
}
