package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Ends an attempt without a complete response.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param generation the generation, empty if none started; null means empty
 * @param code the code of the error, not blank
 * @param outcome the code of the outcome, not blank
 * @param offset the number of tokens emitted before the failure
 */
public record FailedMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("g") String generation,
        @JsonProperty("e") String code,
        @JsonProperty("oc") String outcome,
        @JsonProperty("o") long offset)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public FailedMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        generation = generation == null ? "" : generation;
        Arguments.notBlank(code, "code");
        Arguments.notBlank(outcome, "outcome");
    }
}
