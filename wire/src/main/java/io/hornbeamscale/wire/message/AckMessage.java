package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Acknowledges tokens up to an offset.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param generation the generation, not blank
 * @param offset the number of tokens that the receiver need not retain any longer
 */
public record AckMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("g") String generation,
        @JsonProperty("o") long offset)
        implements AttemptMessage {
    /** Checks required fields. */
    public AckMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(generation, "generation");
    }
}
