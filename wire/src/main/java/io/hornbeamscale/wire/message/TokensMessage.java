package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * Carries tokens of one generation.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param generation the generation, not blank
 * @param offset the offset of the first token
 * @param texts the texts of the tokens; null means none
 */
public record TokensMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("g") String generation,
        @JsonProperty("o") long offset,
        @JsonProperty("x") List<String> texts)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public TokensMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(generation, "generation");
        texts = texts == null ? List.of() : List.copyOf(texts);
    }
}
