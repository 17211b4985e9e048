package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Permits one start.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param incarnation the incarnation of the granting agent
 * @param sequence the sequence number of the grant
 * @param validMillis how long the grant is valid, in milliseconds
 */
public record GrantMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("in") long incarnation,
        @JsonProperty("sq") long sequence,
        @JsonProperty("vm") long validMillis)
        implements AttemptMessage {
    /** Checks required fields. */
    public GrantMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
    }
}
