package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Asks for the tokens of a generation from an offset.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt that the answering frames carry, from 1
 * @param customer the customer, which must own the generation, not blank
 * @param generation the generation, not blank
 * @param offset the first offset to send
 */
public record ResumeMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("c") String customer,
        @JsonProperty("g") String generation,
        @JsonProperty("o") long offset)
        implements AttemptMessage {
    /** Checks required fields. */
    public ResumeMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(customer, "customer");
        Arguments.notBlank(generation, "generation");
    }
}
